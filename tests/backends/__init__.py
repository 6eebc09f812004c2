"""Test the backends package."""
