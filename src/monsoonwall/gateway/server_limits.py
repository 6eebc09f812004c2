"""Keep servers within the limits that they name, and those of cold servers.

A host that reads a limit in a response publishes it to the others, which keep
it as well. How a limit is divided among them is decided in
``decisions.server_limits``.
"""

import struct
from collections.abc import Callable, Container
from dataclasses import dataclass, replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.fleet_view import FleetView
from monsoonwall.gateway.limit_shares import LimitShares
from monsoonwall.gateway.model import BackendServer
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board, Entry, Fact

LIMIT_KIND: Final = 'server-limit'
_FACT_TTL_SECONDS: Final = 300.0
# A limit that lasts is published again when this part of the time is left.
_RENEWAL_RATIO: Final = 0.5
_MILLISECONDS_PER_SECOND: Final = 1000
# Incarnation, version, whether there is a limit, and the limit. In this order
# the greater payload, which the board keeps, is the later one.
_PAYLOAD: Final = struct.Struct('>QQ?d')

_log = make_logger('servers')


def _is_warm(server: BackendServer) -> None:
    """Return no limit for any server."""


@dataclass(frozen=True)
class NamedLimit:
    """Hold what one incarnation of a server said of its limit.

    ``version`` increases with each change. Without ``requests_per_second`` the
    server has no limit.
    """

    born: int
    version: int
    requests_per_second: float | None


def encode_limit(limit: NamedLimit) -> bytes:
    """Encode a limit so that a later one is a greater payload."""
    return _PAYLOAD.pack(
        limit.born,
        limit.version,
        limit.requests_per_second is not None,
        limit.requests_per_second or 0,
    )


def decode_limit(payload: bytes) -> NamedLimit | None:
    """Decode a limit; return None if the payload is malformed."""
    try:
        born, version, limited, rate = _PAYLOAD.unpack(payload)
    except struct.error as error:
        _log.warning('Cannot decode a server limit.', reason=str(error))
        return None
    return NamedLimit(born, version, rate if limited else None)


@dataclass
class _LimitedServer:
    """Limit that a server has named.

    ``learned_at`` is when this host learned the limit (monotonic seconds), and
    ``expires_wall`` when other hosts forget it (Unix seconds).
    """

    limit: NamedLimit
    learned_at: float
    expires_wall: float


class ServerLimits:
    """Learn, publish and keep the limits of all servers.

    ``find_cold_limit`` returns the limit of a cold server. A server with two
    limits is kept within the lower one.
    """

    def __init__(
        self,
        board: Board,
        clock: Clock,
        fleet: FleetView,
        find_cold_limit: Callable[[BackendServer], float | None] = _is_warm,
    ) -> None:
        self._board = board
        self._clock = clock
        self._find_cold_limit = find_cold_limit
        self._shares = LimitShares(clock, fleet)
        self._servers: dict[str, _LimitedServer] = {}
        self._received = board.subscribe(LIMIT_KIND)

    async def run(self) -> None:
        """Adopt the limits that other hosts publish, until cancelled."""
        while True:
            self.adopt_published(await self._received.get())

    def adopt_published(self, received: Entry | Fact) -> None:
        """Adopt a limit that a host has published, if it is a later one."""
        if not isinstance(received, Fact):
            return
        limit = decode_limit(received.payload)
        if limit is None:
            return
        known = self._servers.get(received.key)
        if known is None or _get_age(known.limit) < _get_age(limit):
            self._store(received.key, limit, received.expires_wall)

    def record_response(
        self,
        server: BackendServer,
        requests_per_second: float | None,
        sent_at: float,
    ) -> None:
        """Record the limit, if any, in the response to a request.

        A request that was sent before the present limit was learned may have
        been answered before the server named it, so its response cannot raise
        or end the limit.
        """
        known = self._servers.get(server.name)
        if known is None or known.limit.born < server.born:
            if requests_per_second is not None:
                self._change(server, requests_per_second)
            return
        if known.limit.born > server.born:
            return
        current = known.limit.requests_per_second
        if requests_per_second == current:
            self._renew(server, known)
            return
        lowers = requests_per_second is not None and (
            current is None or requests_per_second < current
        )
        if lowers or sent_at >= known.learned_at:
            self._change(server, requests_per_second)

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server is cold, or still warming up."""
        return self._find_cold_limit(server) is not None

    def can_send(self, server: BackendServer) -> bool:
        """Return whether a request may be sent to a server now."""
        limit = self._find_limit(server)
        return limit is None or self._shares.can_send(server, limit)

    def spend(self, server: BackendServer) -> None:
        """Count a request that is being sent to a server."""
        if self._find_limit(server) is not None:
            self._shares.spend(server)

    def estimate_wait(self, server: BackendServer) -> float:
        """Return the seconds until a request may be sent to a server."""
        limit = self._find_limit(server)
        return 0 if limit is None else self._shares.estimate_wait(server, limit)

    def retain(self, names: Container[str]) -> None:
        """Drop what this host has sent to all other servers."""
        self._shares.retain(names)

    def drop_expired(self) -> None:
        """Forget the limits that no response has named for a long time."""
        now_wall = self._clock.read_wall()
        self._servers = {
            name: known
            for name, known in self._servers.items()
            if now_wall < known.expires_wall
        }

    def _find(self, server: BackendServer) -> _LimitedServer | None:
        known = self._servers.get(server.name)
        if known is None or known.limit.born != server.born:
            return None
        return known

    def _find_limit(self, server: BackendServer) -> float | None:
        """Return the server's limit in requests per second, if it has one."""
        known = self._find(server)
        named = known and known.limit.requests_per_second
        cold = self._find_cold_limit(server)
        if named is None or cold is None:
            return cold if named is None else named
        return min(named, cold)

    def _change(
        self, server: BackendServer, requests_per_second: float | None
    ) -> None:
        known = self._find(server)
        version = round(self._clock.read_wall() * _MILLISECONDS_PER_SECOND)
        if known is not None:
            version = max(version, known.limit.version + 1)
        limit = NamedLimit(server.born, version, requests_per_second)
        expires_wall = self._publish(server.name, limit)
        self._store(server.name, limit, expires_wall)

    def _renew(self, server: BackendServer, known: _LimitedServer) -> None:
        left_seconds = known.expires_wall - self._clock.read_wall()
        if (
            known.limit.requests_per_second is not None
            and left_seconds < _RENEWAL_RATIO * _FACT_TTL_SECONDS
        ):
            known.expires_wall = self._publish(
                server.name,
                replace(known.limit, version=known.limit.version + 1),
            )

    def _publish(self, name: str, limit: NamedLimit) -> float:
        expires_wall = self._clock.read_wall() + _FACT_TTL_SECONDS
        self._board.publish_fact(
            Fact(LIMIT_KIND, name, encode_limit(limit), expires_wall)
        )
        return expires_wall

    def _store(self, name: str, limit: NamedLimit, expires_wall: float) -> None:
        known = self._servers.get(name)
        now = self._clock.read_monotonic()
        if known is None or known.limit.born != limit.born:
            known = _LimitedServer(limit, now, expires_wall)
            self._servers[name] = known
            _log_limit(name, limit)
            return
        changed = known.limit.requests_per_second != limit.requests_per_second
        known.limit = limit
        known.expires_wall = expires_wall
        if changed:
            known.learned_at = now
            _log_limit(name, limit)


def _get_age(limit: NamedLimit) -> tuple[int, int]:
    return limit.born, limit.version


def _log_limit(name: str, limit: NamedLimit) -> None:
    _log.info(
        'Server no longer limits its requests.'
        if limit.requests_per_second is None
        else 'Server limits its requests.',
        server=name,
        born=limit.born,
        requests_per_second=limit.requests_per_second,
    )
