"""Test what is shipped."""
