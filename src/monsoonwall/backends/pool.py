"""Clients of the backend servers in the active configuration."""

from monsoonwall.backends.engine import ModelEngine
from monsoonwall.backends.http_engine import HttpEngine
from monsoonwall.backends.http_service import HttpService
from monsoonwall.backends.service import PlainService
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration, ServiceKind
from monsoonwall.transport.clients import make_client

# Tornado's client queues requests beyond this number. With its default of ten,
# streams would wait for one another.
MAX_CLIENT_REQUESTS = 10_000
# Responses of plain services and reports of engines are buffered in memory, so
# they have a lower limit than streams, which are not.
_MAX_RESPONSE_BYTES = 4_000_000
_MAX_STREAM_BYTES = 64_000_000


class BackendPool:
    """Create the clients of backend servers, and look them up by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._client = make_client(MAX_CLIENT_REQUESTS, _MAX_RESPONSE_BYTES)
        self._stream_client = make_client(
            MAX_CLIENT_REQUESTS, _MAX_STREAM_BYTES
        )
        self._engines: dict[str, ModelEngine] = {}
        self._services: dict[str, PlainService] = {}

    def adopt(self, configuration: Configuration) -> None:
        """Replace the clients by those of a configuration's servers."""
        engines: dict[str, ModelEngine] = {}
        services: dict[str, PlainService] = {}
        for name, server in configuration.backend_servers.items():
            kind = configuration.services[server.service].kind
            if kind is ServiceKind.model:
                engines[name] = HttpEngine(
                    server.address,
                    self._client,
                    self._stream_client,
                    self._clock,
                )
            else:
                services[name] = HttpService(
                    server.address, self._client, self._clock
                )
        self._engines = engines
        self._services = services

    def find_engine(self, name: str) -> ModelEngine | None:
        """Return the client of a model engine, if there is one."""
        return self._engines.get(name)

    def find_service(self, name: str) -> PlainService | None:
        """Return the client of a plain service's server, if there is one."""
        return self._services.get(name)

    def list_engines(self) -> dict[str, ModelEngine]:
        """Return the clients of all engines by server name."""
        return dict(self._engines)

    def close(self) -> None:
        """Close the HTTP clients and their connections."""
        self._client.close()
        self._stream_client.close()
