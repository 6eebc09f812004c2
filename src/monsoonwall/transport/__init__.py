"""HTTP client connections (channels), closed after an incomplete response."""
