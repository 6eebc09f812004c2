"""Serve model requests on machines that may be reclaimed at any time."""
