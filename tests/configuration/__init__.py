"""Test the configuration package."""
