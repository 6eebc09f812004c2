"""Tests of the HTTP channels to servers and to the platform."""
