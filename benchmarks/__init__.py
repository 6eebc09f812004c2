"""Hold the measurements that the documentation quotes."""
