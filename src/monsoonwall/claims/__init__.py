"""Run each call that is not idempotent at most once."""
