"""Test the claims package."""
