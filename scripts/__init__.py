"""Set up, build, format, test and demonstrate the project."""
