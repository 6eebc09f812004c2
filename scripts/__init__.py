"""Hold the scripts that set up, build, format and show the project."""
