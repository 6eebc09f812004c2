"""Test the mesh package."""
