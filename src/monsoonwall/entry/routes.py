"""Explain where a call of a route may go."""

from dataclasses import dataclass

from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.reporting import ExplainQuery
from monsoonwall.entry.state import HostState


@dataclass(frozen=True)
class RouteExplanation:
    """Describe what the configuration says of a route's calls."""

    configuration: int
    route: str
    found: bool
    service: str = ''
    priority: int = 0
    idempotent: bool = True
    active_version: str = ''
    backend_servers: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()


class RouteExplainer:
    """Look a route up in the configuration in force."""

    def __init__(self, state: HostState) -> None:
        self._state = state

    def explain(self, query: ExplainQuery) -> RouteExplanation | None:
        """Return what is known, or None if no route was asked for."""
        if not query.route or self._state.pipeline is None:
            return None
        return _explain_route(query.route, self._state.pipeline.configuration)


def _explain_route(name: str, configuration: Configuration) -> RouteExplanation:
    route = configuration.routes.get(name)
    if route is None:
        return RouteExplanation(configuration.number, name, found=False)
    service = configuration.services[route.service]
    return RouteExplanation(
        configuration.number,
        name,
        found=True,
        service=route.service,
        priority=route.priority,
        idempotent=route.idempotent,
        active_version=service.active_version,
        backend_servers=tuple(
            server_name
            for server_name, server in configuration.backend_servers.items()
            if server.service == route.service
        ),
        moves=tuple(
            move_name
            for move_name, move in configuration.moves.items()
            if move.service == route.service
        ),
    )
