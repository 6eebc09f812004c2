"""Decision logic without I/O; callers pass in the state and the time."""
