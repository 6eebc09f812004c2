"""Clients and data formats of the platform and of its cloud API."""
