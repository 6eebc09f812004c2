"""Connect the entry hosts with each other."""
