"""Test the pipeline package."""
