"""Test monsoonwall; the folders correspond to those of the package."""
