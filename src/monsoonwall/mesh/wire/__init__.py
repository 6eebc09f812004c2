"""Hold the generated messages of the mesh."""
