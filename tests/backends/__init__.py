"""Tests of the clients of backend servers."""
