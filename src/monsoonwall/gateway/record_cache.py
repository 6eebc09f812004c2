"""Cache the configuration, servers, roll-outs and evacuations on this host.

Records arrive from the platform's store and from other hosts, in any order and
possibly more than once. The cache keeps the latest of each record, so an
outdated record never replaces a newer one.

The store may return from an older copy of its content, which begins a new era.
Records of the new era replace earlier ones, with these exceptions, until they
are written again:

- a configuration is kept until one with a higher version arrives;
- an entry of the copy for a server that had left is marked as leaving;
- servers that the copy lacks are kept while they register again;
- roll-outs that the copy lacks, or has an earlier order for, are kept;
- evacuations that the copy lacks are kept.
"""

from collections.abc import Callable, Container
from dataclasses import replace

from monsoonwall.clocks import Clock
from monsoonwall.gateway.evacuations import Evacuations
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
from monsoonwall.gateway.server_entries import (
    DepartureObserver,
    ServerEntries,
)
from monsoonwall.logs import make_logger
from monsoonwall.metrics import GATEWAY_REVISION

_log = make_logger('knowledge')

Observer = Callable[[Record], None]


class RecordCache:
    """Keep the latest of each record and its decoded content."""

    def __init__(
        self, codec: RecordCodec, clock: Clock, drain_seconds: float
    ) -> None:
        self._codec = codec
        self._records: dict[tuple[RecordKind, str], Record] = {}
        self._servers = ServerEntries(codec, clock, drain_seconds)
        self._observers: list[Observer] = []
        self.catalogue: Catalogue | None = None
        self._rollouts: dict[str, Rollout] = {}
        self.evacuations = Evacuations()

    def subscribe(self, observer: Observer) -> None:
        """Register a callback for every record that is adopted or changed."""
        self._observers.append(observer)

    def subscribe_departures(self, observer: DepartureObserver) -> None:
        """Register a callback for servers that an older copy has restored."""
        self._servers.subscribe_departures(observer)

    def list_servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service, leaving ones included."""
        return tuple(
            server
            for server in self.list_all_servers()
            if server.service == service
        )

    def list_all_servers(self) -> tuple[BackendServer, ...]:
        """Return all servers of all services."""
        for removal in self._servers.list_due_removals():
            self.adopt(removal)
        return self._servers.list_all()

    def find_server(self, name: str) -> BackendServer | None:
        """Return a server by its name."""
        return self._servers.find(name)

    def mark_leaving(self, name: str, born: int) -> bool:
        """Mark an incarnation as leaving; return whether that is new."""
        if not self._servers.mark_leaving(name, born):
            return False
        record = self._records.get((RecordKind.server, name))
        if record is not None and self.find_server(name) is not None:
            self._notify(record)
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
            self.adopt(replace(record, listed=True))
        self._servers.note_era(listing.era)
        for known in self._list_missing(kind, listed, listing.era):
            removal = Record(
                kind, known.name, listing.revision, None, listing.era
            )
            self.adopt(removal, after_outage or known.era < listing.era)

    def adopt(self, record: Record, after_outage: bool = False) -> bool:
        """Store a record if it is newer; return whether it was stored.

        A server's removal that was read right after an outage of the store is
        held, since the entry may have expired during the outage.
        """
        self._servers.note_era(record.era)
        known = self._records.get((record.kind, record.name))
        if record.kind is RecordKind.catalogue:
            return self._adopt_catalogue(record, known)
        if known is not None and known.position >= record.position:
            return False
        if record.kind is RecordKind.server:
            if after_outage and self._servers.hold_removal(record):
                return False
            self._servers.adopt(record)
        elif not self._adopt_order(record):
            return False
        self._store(record)
        return True

    def _list_missing(
        self, kind: RecordKind, listed: Container[str], era: int
    ) -> tuple[Record, ...]:
        """Return the records that a listing without them removes.

        Operators write again what the store has lost; until then it is in
        force.
        """
        return tuple(
            known
            for known in self.list_records(kind)
            if known.name not in listed
            and known.content is not None
            and (known.era == era or kind is RecordKind.server)
        )

    def _store(self, record: Record) -> None:
        self._records[record.kind, record.name] = record
        GATEWAY_REVISION.labels(record.kind).set(record.revision)
        self._notify(record)

    def _notify(self, record: Record) -> None:
        for observer in self._observers:
            observer(record)

    def _adopt_catalogue(self, record: Record, known: Record | None) -> bool:
        if (
            known is not None
            and known.era == record.era
            and known.revision >= record.revision
        ):
            return False
        catalogue = self._codec.decode_catalogue(record)
        if catalogue is None:
            return False
        # Versions only rise, whereas revisions do not across eras.
        if self.catalogue is not None and known is not None:
            in_force = (self.catalogue.version, known.position)
            if (catalogue.version, record.position) <= in_force:
                return False
        self.catalogue = catalogue
        _log.info(
            'Configuration adopted.',
            era=record.era,
            revision=record.revision,
            version=catalogue.version,
            routes=len(catalogue.routes),
        )
        self._store(replace(record, version=catalogue.version))
        return True

    def _adopt_order(self, record: Record) -> bool:
        if record.kind is RecordKind.evacuation:
            self.evacuations.adopt(record)
            return True
        previous = self._rollouts.get(record.name)
        rollout = record.content and self._codec.decode_rollout(record)
        if not rollout:
            self._rollouts.pop(record.name, None)
            return True
        if (
            previous is not None
            and previous.era < record.era
            and rollout.order != previous.order
        ):
            if record.listed:
                return False
            if _is_same_order(rollout, previous):
                rollout = replace(rollout, order=previous.order)
        self._rollouts[record.name] = rollout
        _log.info(
            'Roll-out adopted.',
            service=rollout.service,
            version=rollout.version,
            seconds=rollout.seconds,
            state=rollout.state,
            era=record.era,
            revision=record.revision,
        )
        return True


def _is_same_order(rollout: Rollout, previous: Rollout) -> bool:
    """Return whether an order that was lost has been written again."""
    return (rollout.version, rollout.seconds) == (
        previous.version,
        previous.seconds,
    )
