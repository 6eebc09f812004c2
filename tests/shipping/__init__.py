"""Test the shipped executable."""
