"""Hold the tests, split by area as the package is."""
