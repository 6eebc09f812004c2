"""Test the streams package."""
