"""Cache the configuration, the servers and the roll-outs on this host.

Records arrive from the platform's store and from other hosts, in any order and
possibly more than once. The cache keeps the highest revision of each record,
so an outdated record never replaces a newer one.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import (
    BackendServer,
    Catalogue,
    Rollout,
)
from monsoonwall.gateway.records import (
    Listing,
    Record,
    RecordCodec,
    RecordKind,
)
from monsoonwall.logs import make_logger
from monsoonwall.metrics import GATEWAY_REVISION

# Server entries expire while the store is down. A running server registers
# again within two seconds of the store's return, so its removal is delayed by
# as much.
_REMOVAL_DELAY_SECONDS: Final = 2.0
# Upper bound of that delay, as a fraction of the drain time: a removed server
# may be draining, and must get no requests once its drain time is over.
_DRAIN_RATIO: Final = 0.7
_MAX_LEAVING: Final = 10_000

_log = make_logger('knowledge')

Observer = Callable[[Record], None]


class _LeavingIncarnations:
    """Incarnations of servers that announced that they are leaving.

    Keeps the latest incarnation of each of the last ``_MAX_LEAVING`` servers.
    """

    def __init__(self) -> None:
        self._born: OrderedDict[str, int] = OrderedDict()

    def add(self, name: str, born: int) -> bool:
        """Add an incarnation; return whether it is later than the known one."""
        known = self._born.get(name)
        if known is not None and known >= born:
            return False
        self._born[name] = born
        self._born.move_to_end(name)
        while len(self._born) > _MAX_LEAVING:
            self._born.popitem(last=False)
        return True

    def mark(self, server: BackendServer) -> BackendServer:
        """Return the server, marked as leaving if it has announced that."""
        if self._born.get(server.name) != server.born:
            return server
        return replace(server, leaving=True)


@dataclass(frozen=True)
class _HeldRemoval:
    """A removal that takes effect at a time in monotonic seconds."""

    record: Record
    effective_at: float


class RecordCache:
    """Keep the latest revision of each record and its decoded content."""

    def __init__(
        self, codec: RecordCodec, clock: Clock, drain_seconds: float
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._removal_delay_seconds = min(
            _REMOVAL_DELAY_SECONDS, _DRAIN_RATIO * drain_seconds
        )
        self._records: dict[tuple[RecordKind, str], Record] = {}
        self._servers: dict[str, BackendServer] = {}
        # Removals of entries that may have expired. Only the host that has read
        # such a removal holds it: other hosts learn of it once it has effect.
        self._held_removals: dict[str, _HeldRemoval] = {}
        self._leaving = _LeavingIncarnations()
        self._observers: list[Observer] = []
        self.catalogue: Catalogue | None = None
        self._rollouts: dict[str, Rollout] = {}

    def subscribe(self, observer: Observer) -> None:
        """Register a callback for every record that is adopted or changed."""
        self._observers.append(observer)

    def list_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service, leaving ones included."""
        self._apply_held_removals()
        return tuple(
            server
            for server in self._servers.values()
            if server.service == service
        )

    def list_all_servers(self) -> tuple[BackendServer, ...]:
        """Return all servers of all services."""
        self._apply_held_removals()
        return tuple(self._servers.values())

    def find_server(self, name: str) -> BackendServer | None:
        """Return a server by its name."""
        return self._servers.get(name)

    def mark_leaving(self, name: str, born: int) -> bool:
        """Mark an incarnation as leaving; return whether that is new."""
        if not self._leaving.add(name, born):
            return False
        _log.info(
            'Server announced that it is leaving.', server=name, born=born
        )
        server = self._servers.get(name)
        if server is not None:
            self._servers[name] = self._leaving.mark(server)
            record = self._records[RecordKind.server, name]
            for observer in self._observers:
                observer(record)
        return True

    def list_rollouts(self) -> tuple[Rollout, ...]:
        """Return the latest roll-out of each service that has one."""
        return tuple(self._rollouts.values())

    def list_records(self, kind: RecordKind) -> tuple[Record, ...]:
        """Return the latest records of a kind, removals included."""
        return tuple(
            record for record in self._records.values() if record.kind is kind
        )

    def adopt_listing(
        self, kind: RecordKind, listing: Listing, after_outage: bool = False
    ) -> None:
        """Adopt a complete listing; older records not in it are removed."""
        listed = {record.name for record in listing.records}
        for record in listing.records:
            self.adopt(record)
        for known in self.list_records(kind):
            if known.name not in listed and known.content is not None:
                removal = Record(kind, known.name, listing.revision, None)
                self.adopt(removal, after_outage)

    def adopt(self, record: Record, after_outage: bool = False) -> bool:
        """Store a record if it is newer; return whether it was stored.

        A server's removal that was read right after an outage of the store is
        held, since the entry may have expired during the outage.
        """
        key = (record.kind, record.name)
        known = self._records.get(key)
        if known is not None and known.revision >= record.revision:
            return False
        if after_outage and self._hold_removal(record):
            return False
        self._records[key] = record
        GATEWAY_REVISION.labels(record.kind).set(record.revision)
        if record.kind is RecordKind.catalogue:
            self._adopt_catalogue(record)
        elif record.kind is RecordKind.server:
            self._adopt_server(record)
        elif record.kind is RecordKind.rollout:
            self._adopt_rollout(record)
        for observer in self._observers:
            observer(record)
        return True

    def _adopt_catalogue(self, record: Record) -> None:
        catalogue = self._codec.decode_catalogue(record)
        if catalogue is None:
            return
        self.catalogue = catalogue
        _log.info(
            'Configuration adopted.',
            revision=record.revision,
            version=catalogue.version,
            routes=len(catalogue.routes),
        )

    def _adopt_server(self, record: Record) -> None:
        if record.content is None:
            self._remove_server(record)
            return
        held = self._held_removals.get(record.name)
        if held is not None and held.record.revision < record.revision:
            self._held_removals.pop(record.name)
        server = self._codec.decode_server(record)
        if server is None:
            self._servers.pop(record.name, None)
            return
        server = self._leaving.mark(server)
        self._servers[record.name] = server
        _log.info(
            'Server entry adopted.',
            server=record.name,
            revision=record.revision,
            address=server.address,
            service=server.service,
            zone=server.zone,
            version=server.version,
            born=server.born,
            leaving=server.leaving,
            spot=server.spot,
        )

    def _adopt_rollout(self, record: Record) -> None:
        rollout = record.content and self._codec.decode_rollout(record)
        if not rollout:
            self._rollouts.pop(record.name, None)
            return
        self._rollouts[record.name] = rollout
        _log.info(
            'Roll-out adopted.',
            service=rollout.service,
            version=rollout.version,
            seconds=rollout.seconds,
            state=rollout.state,
            revision=record.revision,
        )

    def _remove_server(self, record: Record) -> None:
        self._held_removals.pop(record.name, None)
        if self._servers.pop(record.name, None) is not None:
            _log.info(
                'Server entry removed.',
                server=record.name,
                revision=record.revision,
            )

    def _hold_removal(self, record: Record) -> bool:
        """Hold a removal if it may be that of a live server."""
        server = self._servers.get(record.name)
        if record.content is not None or server is None or server.leaving:
            return False
        # Later copies of a removal, with the revisions of the listings that
        # lacked the server, must not extend the delay.
        if record.name not in self._held_removals:
            self._held_removals[record.name] = _HeldRemoval(
                record,
                self._clock.read_monotonic() + self._removal_delay_seconds,
            )
            _log.info(
                'Removal of a server entry held.',
                server=record.name,
                revision=record.revision,
            )
        return True

    def _apply_held_removals(self) -> None:
        now = self._clock.read_monotonic()
        due = [
            held.record
            for held in self._held_removals.values()
            if held.effective_at <= now
        ]
        for record in due:
            self.adopt(record)
