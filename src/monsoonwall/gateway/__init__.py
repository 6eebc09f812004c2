"""Serve HTTP routes of many services from entry hosts on the platform."""
