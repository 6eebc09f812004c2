"""Reach the platform: objects, hosts, weights and the live list."""
