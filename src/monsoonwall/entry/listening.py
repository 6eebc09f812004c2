"""Listen for callers and operators over HTTP."""

from typing import Any, Final

from monsoonwall.clocks import SystemClock
from monsoonwall.decisions.intake import make_intake_limits
from monsoonwall.entry.intake import ApplicationReceiver
from monsoonwall.entry.web import make_application
from monsoonwall.settings import EntrySettings, split_address
from monsoonwall.transport.intake import (
    READ_BYTES,
    IntakeServer,
    RequestIntake,
)

# How long a connection may be idle, and how long a body may take to arrive.
_IDLE_SECONDS: Final = 75
_BODY_SECONDS: Final = 30


class Listener:
    """Own the HTTP server of an entry host."""

    def __init__(self, settings: EntrySettings, routes: list[Any]) -> None:
        receiver = ApplicationReceiver(
            make_application(routes, settings.max_body_bytes),
            settings.max_body_bytes,
        )
        intake_limits = make_intake_limits(
            settings.memory_megabytes, settings.max_descriptors
        )
        self._server = IntakeServer(
            RequestIntake(receiver, intake_limits, SystemClock()),
            chunk_size=READ_BYTES,
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
