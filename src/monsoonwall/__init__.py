"""Serve language assistants on reclaimable hosts."""
