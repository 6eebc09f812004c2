"""Connect to other processes: HTTP channels, HTTP clients and probes."""
