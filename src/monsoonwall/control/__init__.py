"""Do work that one entry host should do at a time."""
