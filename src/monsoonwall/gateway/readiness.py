"""Tell the platform's balancer whether this host takes new channels."""

from collections.abc import Callable
from typing import Final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from monsoonwall.settings import split_address

_UNREADY_STATUS: Final = 503


class ReadyHandler(RequestHandler):
    """Answer whether the host is ready."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Take the question to ask."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer 200 or 503."""
        if not self._is_ready():
            self.set_status(_UNREADY_STATUS)
        self.finish('')


class MetricsHandler(RequestHandler):
    """Show the counters."""

    def get(self) -> None:
        """Answer with all counters as text."""
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        self.finish(generate_latest())


class ReadyServer:
    """Own the HTTP server for the balancer and for metrics."""

    def __init__(
        self, address: str, path: str, is_ready: Callable[[], bool]
    ) -> None:
        self._address = address
        self._server = HTTPServer(
            Application(
                [
                    (path, ReadyHandler, {'is_ready': is_ready}),
                    ('/metrics', MetricsHandler),
                ],
                log_function=_ignore_request,
            )
        )

    def listen(self) -> None:
        """Accept connections from now on."""
        host, port = split_address(self._address)
        self._server.listen(port, host)


def _ignore_request(handler: RequestHandler) -> None:
    """Log nothing; the balancer asks every second."""
