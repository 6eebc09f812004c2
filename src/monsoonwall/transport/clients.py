"""Tornado HTTP clients with a maximum response size."""

from typing import Final

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.iostream import UnsatisfiableReadError

# Errors that a fetch may raise. UnsatisfiableReadError means that the response
# header exceeds its maximum size.
CALL_ERRORS: Final = (HTTPError, OSError, UnsatisfiableReadError)


def make_client(max_clients: int, max_response_bytes: int) -> AsyncHTTPClient:
    """Return a new client that shares no connections with other clients.

    Calls beyond ``max_clients`` at a time are queued. Responses with more than
    ``max_response_bytes`` fail.
    """
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=max_response_bytes,
        max_buffer_size=max_response_bytes,
    )
