"""Decide, as pure functions of what is known and the time."""
