"""Reach backend servers: model engines and plain services."""
