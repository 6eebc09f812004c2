"""Let calls that are not idempotent run at most once."""
