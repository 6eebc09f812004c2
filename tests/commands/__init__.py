"""Test the commands package."""
