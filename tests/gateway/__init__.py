"""Tests of the gateway's request path on the users' platform."""
