"""Hold, check, patch and adopt the numbered configuration."""
