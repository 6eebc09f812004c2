"""Test the entry package."""
