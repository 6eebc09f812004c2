"""Reach the platform: objects, hosts and the list of live hosts."""
