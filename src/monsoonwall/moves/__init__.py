"""Execute moves between versions, in coordination with other hosts."""
