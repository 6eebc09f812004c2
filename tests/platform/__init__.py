"""Tests of the clients and data formats of the platform."""
