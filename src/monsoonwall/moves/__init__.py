"""Carry version moves out on one host, together with the others."""
