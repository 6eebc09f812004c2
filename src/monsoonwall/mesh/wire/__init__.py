"""Hold the messages of the mesh and the code generated for them."""
