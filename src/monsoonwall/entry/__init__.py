"""Run an entry host: its HTTP server, background tasks and state."""
