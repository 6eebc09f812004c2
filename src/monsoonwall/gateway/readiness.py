"""Serve the readiness probe of the load balancer, and the metrics."""

from collections.abc import Callable
from typing import Final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from monsoonwall.settings import split_address

_UNREADY_STATUS: Final = 503


class ReadyHandler(RequestHandler):
    """Respond to readiness probes."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Set the function that decides whether the host is ready."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Respond with 200 if the host is ready, else 503."""
        if not self._is_ready():
            self.set_status(_UNREADY_STATUS)
        self.finish('')


class MetricsHandler(RequestHandler):
    """Serve the metrics in the Prometheus text format."""

    def get(self) -> None:
        """Respond with all metrics."""
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        self.finish(generate_latest())


class ReadyServer:
    """HTTP server for readiness probes and metrics."""

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
        """Start accepting connections."""
        host, port = split_address(self._address)
        self._server.listen(port, host)


def _ignore_request(handler: RequestHandler) -> None:
    """Log nothing, since the load balancer probes every second."""
