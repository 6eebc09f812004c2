"""Entry hosts that route HTTP requests to the backend servers of services."""
