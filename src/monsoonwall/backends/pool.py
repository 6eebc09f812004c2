"""Hold one connection object for each backend server in force."""

from monsoonwall.backends.engine import ModelEngine
from monsoonwall.backends.http_engine import HttpEngine
from monsoonwall.backends.http_service import HttpService
from monsoonwall.backends.service import PlainService
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration, ServiceKind
from monsoonwall.transport.clients import make_client

# Tornado's client queues requests above this number, ten by default, which
# would hold streams back behind each other.
MAX_CLIENT_REQUESTS = 10_000
# Answers of plain services and reports of engines are held in memory; streams
# are not.
_MAX_RESPONSE_BYTES = 4_000_000
_MAX_STREAM_BYTES = 64_000_000


class BackendPool:
    """Make and find the adapters of backend servers by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._client = make_client(MAX_CLIENT_REQUESTS, _MAX_RESPONSE_BYTES)
        self._streams = make_client(MAX_CLIENT_REQUESTS, _MAX_STREAM_BYTES)
        self._engines: dict[str, ModelEngine] = {}
        self._services: dict[str, PlainService] = {}

    def adopt(self, configuration: Configuration) -> None:
        """Make the adapters that a configuration names."""
        engines: dict[str, ModelEngine] = {}
        services: dict[str, PlainService] = {}
        for name, server in configuration.backend_servers.items():
            kind = configuration.services[server.service].kind
            if kind is ServiceKind.model:
                engines[name] = HttpEngine(
                    server.address, self._client, self._streams, self._clock
                )
            else:
                services[name] = HttpService(
                    server.address, self._client, self._clock
                )
        self._engines = engines
        self._services = services

    def find_engine(self, name: str) -> ModelEngine | None:
        """Return the adapter of a model engine."""
        return self._engines.get(name)

    def find_service(self, name: str) -> PlainService | None:
        """Return the adapter of a plain service's server."""
        return self._services.get(name)

    def list_engines(self) -> dict[str, ModelEngine]:
        """Return all engines by name."""
        return dict(self._engines)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
        self._streams.close()
