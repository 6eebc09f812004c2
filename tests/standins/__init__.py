"""Imitate, in small, the systems that monsoonwall talks to."""
