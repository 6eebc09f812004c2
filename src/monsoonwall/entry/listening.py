"""Listen for callers and operators over HTTP."""

from typing import Any, Final

from tornado.httpserver import HTTPServer

from monsoonwall.entry.web import make_application
from monsoonwall.settings import EntrySettings, split_address

# How long a connection may be idle, and how long a body may take to arrive.
_IDLE_SECONDS: Final = 75
_BODY_SECONDS: Final = 30


class Listener:
    """Own the HTTP server of an entry host."""

    def __init__(self, settings: EntrySettings, routes: list[Any]) -> None:
        self._server = HTTPServer(
            make_application(routes, settings.max_body_bytes),
            idle_connection_timeout=_IDLE_SECONDS,
            body_timeout=_BODY_SECONDS,
            max_body_size=settings.max_body_bytes,
        )
        host, port = split_address(settings.listen_address)
        self._server.listen(port, host)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
