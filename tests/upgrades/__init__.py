"""Test that hosts of different builds understand each other."""
