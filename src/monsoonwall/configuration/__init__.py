"""Store, check, patch and adopt the numbered configuration."""
