"""Process a request from its acceptance to its answer or refusal."""
