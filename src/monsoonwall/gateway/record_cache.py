"""Cache the configuration, the servers and the roll-outs on this host.

Records arrive from the platform's store and from other hosts, in any order and
possibly more than once. The cache keeps the highest revision of each record,
so an outdated record never replaces a newer one.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
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
# For this long after an outage, removals are treated as expired entries.
_STORE_RECOVERY_SECONDS: Final = 3.0
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
        # When servers whose entries have expired are removed.
        self._expiring: dict[str, float] = {}
        self._leaving = _LeavingIncarnations()
        self._store_failed_at = float('-inf')
        self._observers: list[Observer] = []
        self.catalogue: Catalogue | None = None
        self._rollouts: dict[str, Rollout] = {}

    def subscribe(self, observer: Observer) -> None:
        """Register a callback for every record that is adopted or changed."""
        self._observers.append(observer)

    def mark_store_failed(self) -> None:
        """Record that the store is unavailable, so that entries may expire."""
        self._store_failed_at = self._clock.read_monotonic()

    def list_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service, leaving ones included."""
        self._drop_expired()
        return tuple(
            server
            for server in self._servers.values()
            if server.service == service
        )

    def list_all_servers(self) -> tuple[BackendServer, ...]:
        """Return all servers of all services."""
        self._drop_expired()
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

    def adopt_listing(self, kind: RecordKind, listing: Listing) -> None:
        """Adopt a complete listing; older records not in it are removed."""
        listed = {record.name for record in listing.records}
        for record in listing.records:
            self.adopt(record)
        for known in self.list_records(kind):
            if known.name not in listed and known.content is not None:
                self.adopt(Record(kind, known.name, listing.revision, None))

    def adopt(self, record: Record) -> bool:
        """Store a record if it is newer; return whether it was stored."""
        key = (record.kind, record.name)
        known = self._records.get(key)
        if known is not None and known.revision >= record.revision:
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
        self._expiring.pop(record.name, None)
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
        if record.name not in self._servers:
            return
        now = self._clock.read_monotonic()
        lapsed = now < self._store_failed_at + _STORE_RECOVERY_SECONDS
        _log.info(
            'Server entry removed.',
            server=record.name,
            revision=record.revision,
            lapsed=lapsed,
        )
        if lapsed and not self._servers[record.name].leaving:
            # Later copies of a removal, with the revisions of the listings
            # that lacked the server, must not extend the delay.
            self._expiring.setdefault(
                record.name, now + self._removal_delay_seconds
            )
        else:
            self._servers.pop(record.name)
            self._expiring.pop(record.name, None)

    def _drop_expired(self) -> None:
        now = self._clock.read_monotonic()
        expired = [
            name for name, until in self._expiring.items() if until <= now
        ]
        for name in expired:
            self._expiring.pop(name)
            self._servers.pop(name, None)
            _log.info('Expired server entry dropped.', server=name)
