"""Run one entry host: the tasks that own its sockets and state."""
