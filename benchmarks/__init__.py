"""Benchmarks whose results the documentation quotes."""
