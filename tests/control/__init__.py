"""Test the control package."""
