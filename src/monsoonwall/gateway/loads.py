"""Estimate the load of servers from attempts of this host and of its peers.

Hosts publish their running attempts and waiting prompt tokens, so that each
can place requests by the load of all of them.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

from msgspec import Struct, msgpack

from monsoonwall.clocks import Clock
from monsoonwall.decisions.admission import RateMeter
from monsoonwall.decisions.brittle_servers import has_room
from monsoonwall.decisions.health import ServerHealth
from monsoonwall.decisions.placement import Candidate
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.gateway.model import BackendServer, Prompt
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board

LOAD_KIND: Final = 'gateway-load'
# Prompt tokens that an engine processes per second, until measured.
_INITIAL_RATE: Final = 40_000.0
_MIN_RATE: Final = 4000.0
_MAX_RATE: Final = 400_000.0
# Weight of a new measurement in the moving average.
_RATE_GAIN: Final = 0.05
# For shorter prompts, the fixed time of an engine step dominates the time to
# process the prompt.
_MIN_SAMPLE_TOKENS: Final = 2000
# Seconds that a server takes for a request without a prompt, until measured.
_INITIAL_BUSY_SECONDS: Final = 0.1
# Weight of a new measurement in the moving average.
_BUSY_GAIN: Final = 0.05
_MAX_CACHED_PARTS: Final = 2000
# Decoded payloads are cached, since most hosts' loads have not changed since
# the previous exchange.
_CACHED_PAYLOADS: Final = 256
# Short, so that the measured demand follows a burst within seconds.
_DEMAND_WINDOW_SECONDS: Final = 2.0

_log = make_logger('loads')


@dataclass
class ActiveAttempt:
    """An attempt under way at a server; times are monotonic.

    A ``priority`` of 0 is the most urgent.
    ``new_tokens`` are the prompt tokens that are not cached at the server,
    ``ahead_tokens`` those of other requests that it processes first.
    """

    server: str
    priority: int
    new_tokens: float
    sent_at: float
    ahead_tokens: float
    suspect: bool = False
    started: bool = False


class _ServerState:
    """State of one incarnation of a server, as this host sees it.

    ``parts`` are the prompt parts that the server has cached, least recently
    used first.
    """

    def __init__(self, born: int) -> None:
        self.born = born
        self.health = ServerHealth()
        self.attempts: list[ActiveAttempt] = []
        self.parts: OrderedDict[str, None] = OrderedDict()

    def add_cached(self, prompt: Prompt) -> None:
        """Record that the server now caches the shared parts of a prompt."""
        for part in prompt.parts[:-1]:
            self.parts[part.part_id] = None
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > _MAX_CACHED_PARTS:
            self.parts.popitem(last=False)

    def count_cached(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts that are probably cached."""
        tokens = 0
        for part in prompt.parts[:-1]:
            if part.part_id not in self.parts:
                break
            tokens += part.tokens
        return tokens


class PublishedLoad(Struct, array_like=True, frozen=True):
    """Load that one or several hosts cause.

    ``servers`` maps each server to the numbers of its running requests and
    waiting prompt tokens, ``demands`` each service to the prompt tokens sent to
    it per second.
    """

    servers: dict[str, tuple[int, int]]
    demands: dict[str, int]


@dataclass(frozen=True)
class PeerLoad:
    """Load of one server that another host or zone causes."""

    running: int
    waiting_tokens: float


class LoadTracker:
    """Track the load of all servers, caused by this host and its peers."""

    def __init__(self, board: Board, clock: Clock) -> None:
        self._board = board
        self._clock = clock
        self._states: dict[str, _ServerState] = {}
        self._peers: Mapping[str, tuple[PeerLoad, ...]] = {}
        self._rates: dict[str, float] = {}
        self._busy_seconds: dict[str, float] = {}
        self._demands: dict[str, RateMeter] = {}
        self._peer_demands: Counter[str] = Counter()
        self._published: bytes = b''
        self._received: tuple[bytes, ...] = ()
        self._brittle_services: set[str] = set()
        board.declare_merge(LOAD_KIND, merge_loads)

    def find_health(self, server: BackendServer) -> ServerHealth:
        """Return the health statistics of a server."""
        return self._find_state(server).health

    def begin(
        self,
        server: BackendServer,
        candidate: Candidate,
        priority: int,
        suspect: bool = False,
    ) -> ActiveAttempt:
        """Record that a request is being sent to a server."""
        attempt = ActiveAttempt(
            server.name,
            priority,
            candidate.new_tokens,
            self._clock.read_monotonic(),
            candidate.waiting_tokens,
            suspect,
        )
        self._find_state(server).attempts.append(attempt)
        self._demands.setdefault(
            server.service, RateMeter(_DEMAND_WINDOW_SECONDS)
        ).add(candidate.new_tokens, attempt.sent_at)
        return attempt

    def record_response_start(
        self,
        server: BackendServer,
        attempt: ActiveAttempt,
        prompt: Prompt | None,
    ) -> None:
        """Record that a server has started its response."""
        if attempt.started:
            return
        attempt.started = True
        state = self._find_state(server)
        if prompt is not None:
            state.add_cached(prompt)
            self._update_rate(server.service, attempt)

    def end(self, server: BackendServer, attempt: ActiveAttempt) -> None:
        """Record that an attempt has ended."""
        state = self._find_state(server)
        if attempt in state.attempts:
            state.attempts.remove(attempt)
        if attempt.started and not attempt.new_tokens:
            measured = self._clock.read_monotonic() - attempt.sent_at
            average = self._busy_seconds.get(
                server.service, _INITIAL_BUSY_SECONDS
            )
            self._busy_seconds[server.service] = average + _BUSY_GAIN * (
                measured - average
            )

    def make_candidate(
        self,
        server: BackendServer,
        prompt: Prompt | None,
        priority: int,
        same_zone: bool,
        home: bool,
    ) -> Candidate:
        """Return the placement figures of a server for one request.

        ``home`` tells whether the hash of the prompt's shared parts selects
        this server; they are counted as cached there.
        """
        state = self._find_state(server)
        peers = self._peers.get(server.name, ())
        waiting = sum(
            attempt.new_tokens
            for attempt in state.attempts
            if not attempt.started and attempt.priority <= priority
        )
        now = self._clock.read_monotonic()
        return Candidate(
            server=server.name,
            same_zone=same_zone,
            slots=server.slots,
            running=self._count_running(server),
            waiting_tokens=waiting + sum(peer.waiting_tokens for peer in peers),
            new_tokens=_count_uncached_tokens(state, prompt, home),
            tokens_per_second=self._rates.get(server.service, _INITIAL_RATE),
            busy_seconds=self._busy_seconds.get(
                server.service, _INITIAL_BUSY_SECONDS
            ),
            failing=state.health.failing,
            ejected=state.health.is_ejected(now),
            suspects=sum(attempt.suspect for attempt in state.attempts),
        )

    def count_busy_servers(
        self, service: str, servers: Sequence[BackendServer]
    ) -> float:
        """Return how many servers the demand at all hosts keeps busy."""
        now = self._clock.read_monotonic()
        tokens: float = self._peer_demands[service]
        own = self._demands.get(service)
        if own is not None:
            tokens += own.read(now)
        rate = self._rates.get(service, _INITIAL_RATE)
        running = sum(
            self._count_running(server) / server.slots for server in servers
        )
        return max(tokens / rate, running)

    def record_brittleness(self, service: str, *, brittle: bool) -> None:
        """Record whether the servers of a service cannot reject much."""
        if brittle:
            self._brittle_services.add(service)
        else:
            self._brittle_services.discard(service)

    def has_room(self, server: BackendServer) -> bool:
        """Return whether a server may get a request now, if it is brittle."""
        return server.service not in self._brittle_services or has_room(
            self._count_running(server), server.slots
        )

    def is_busy(self, server: BackendServer) -> bool:
        """Return whether any host has attempts under way at a server."""
        return bool(
            self._find_state(server).attempts or self._peers.get(server.name)
        )

    def publish(self) -> None:
        """Publish this host's load to the other hosts."""
        now = self._clock.read_monotonic()
        servers = {
            name: (
                len(state.attempts),
                int(
                    sum(
                        attempt.new_tokens
                        for attempt in state.attempts
                        if not attempt.started
                    )
                ),
            )
            for name, state in self._states.items()
            if state.attempts
        }
        demands = {
            service: round(meter.read(now))
            for service, meter in self._demands.items()
        }
        payload = msgpack.encode(PublishedLoad(servers, demands))
        if payload != self._published:
            self._published = payload
            self._board.publish_entry(LOAD_KIND, '', payload)

    def read_peers(self, own_name: str) -> None:
        """Read the loads that the other hosts have published."""
        received = tuple(
            entry.payload
            for entry in self._board.read_entries(LOAD_KIND)
            if entry.origin != own_name
        )
        if received == self._received:
            return
        self._received = received
        peers: dict[str, list[PeerLoad]] = {}
        self._peer_demands.clear()
        for load in map(_decode_load, received):
            self._peer_demands.update(load.demands)
            for server, figures in load.servers.items():
                peers.setdefault(server, []).append(PeerLoad(*figures))
        self._peers = {name: tuple(loads) for name, loads in peers.items()}

    def retain(self, names: Iterable[str]) -> None:
        """Drop the state of all other servers without running attempts."""
        kept = set(names)
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in kept or state.attempts
        }

    def _count_running(self, server: BackendServer) -> int:
        peers = self._peers.get(server.name, ())
        return len(self._find_state(server).attempts) + sum(
            peer.running for peer in peers
        )

    def _find_state(self, server: BackendServer) -> _ServerState:
        state = self._states.get(server.name)
        if state is None or state.born != server.born:
            state = _ServerState(server.born)
            self._states[server.name] = state
        return state

    def _update_rate(self, service: str, attempt: ActiveAttempt) -> None:
        tokens = attempt.ahead_tokens + attempt.new_tokens
        seconds = self._clock.read_monotonic() - attempt.sent_at
        if tokens < _MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        measured = min(_MAX_RATE, max(_MIN_RATE, tokens / seconds))
        average = self._rates.get(service, _INITIAL_RATE)
        self._rates[service] = average + _RATE_GAIN * (measured - average)


def _count_uncached_tokens(
    state: _ServerState, prompt: Prompt | None, home: bool
) -> float:
    if prompt is None:
        return 0
    if home:
        return prompt.input_tokens - sum(
            part.tokens for part in prompt.parts[:-1]
        )
    return prompt.input_tokens - state.count_cached(prompt)


def merge_loads(payloads: Sequence[bytes]) -> bytes:
    """Return the sum of several hosts' encoded loads."""
    demands: Counter[str] = Counter()
    servers: dict[str, tuple[int, int]] = {}
    for load in map(_decode_load, payloads):
        demands.update(load.demands)
        for name, (running, waiting) in load.servers.items():
            known = servers.get(name, (0, 0))
            servers[name] = (known[0] + running, known[1] + waiting)
    return msgpack.encode(PublishedLoad(servers, dict(demands)))


@lru_cache(_CACHED_PAYLOADS)
def _decode_load(payload: bytes) -> PublishedLoad:
    try:
        return msgpack.decode(payload, type=PublishedLoad)
    except DECODE_ERRORS as error:
        _log.warning('Cannot decode load of other hosts.', reason=str(error))
        return PublishedLoad({}, {})
