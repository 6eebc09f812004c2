"""Keep the servers that entered themselves in the platform's store."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from monsoonwall.clocks import Clock
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.records import Record, RecordCodec
from monsoonwall.logs import make_logger

# Server entries expire while the store is down. A running server registers
# again within two seconds of the store's return, so its removal is delayed by
# as much.
_REMOVAL_DELAY_SECONDS: Final = 2.0
# Upper bound of that delay, as a fraction of the drain time: a removed server
# may be draining, and must get no requests once its drain time is over.
_DRAIN_RATIO: Final = 0.7
_MAX_LEAVING: Final = 10_000
# Running servers register again within two seconds of the store's return from
# an older copy; hosts reach it within one second of that.
_REGISTRATION_SECONDS: Final = 3.0

_log = make_logger('knowledge')

DepartureObserver = Callable[[BackendServer], None]


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


class _DepartedIncarnations:
    """Incarnations of servers that had left, or were leaving, in an era.

    Keeps the last ``_MAX_LEAVING`` servers.
    """

    def __init__(self) -> None:
        self._departures: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def add(self, server: BackendServer, era: int) -> None:
        """Add the incarnation of a server that departs, or departed."""
        self._departures[server.name] = server.born, era
        self._departures.move_to_end(server.name)
        while len(self._departures) > _MAX_LEAVING:
            self._departures.popitem(last=False)

    def discard(self, name: str) -> None:
        """Discard what is known of a server that has registered again."""
        self._departures.pop(name, None)

    def contains(self, server: BackendServer, era: int) -> bool:
        """Return whether the server departed before an era."""
        born, departed_era = self._departures.get(server.name, (0, era))
        return departed_era < era and server.born <= born


@dataclass(frozen=True)
class _HeldRemoval:
    """A removal that takes effect at a time in monotonic seconds."""

    record: Record
    effective_at: float


class ServerEntries:
    """Hold the servers whose entries are present, and their departures."""

    def __init__(
        self, codec: RecordCodec, clock: Clock, drain_seconds: float
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._removal_delay_seconds = min(
            _REMOVAL_DELAY_SECONDS, _DRAIN_RATIO * drain_seconds
        )
        self._servers: dict[str, BackendServer] = {}
        self._eras: dict[str, int] = {}
        # Removals of entries that may have expired. Only the host that has read
        # such a removal holds it: other hosts learn of it once it has effect.
        self._held_removals: dict[str, _HeldRemoval] = {}
        self._leaving = _LeavingIncarnations()
        self._departed = _DepartedIncarnations()
        self._era = 0
        self._registration_ends_at = float('-inf')
        self._observers: list[DepartureObserver] = []

    def subscribe_departures(self, observer: DepartureObserver) -> None:
        """Register a callback for servers that an older copy has restored."""
        self._observers.append(observer)

    def list_all(self) -> tuple[BackendServer, ...]:
        """Return all servers, leaving ones included."""
        return tuple(self._servers.values())

    def find(self, name: str) -> BackendServer | None:
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
        return True

    def note_era(self, era: int) -> None:
        """Give servers time to register again if the era is a new one."""
        if era > self._era:
            self._era = era
            self._registration_ends_at = (
                self._clock.read_monotonic() + _REGISTRATION_SECONDS
            )

    def adopt(self, record: Record) -> None:
        """Adopt an entry that is later than the known one of its name."""
        if record.content is None:
            self._remove(record)
            return
        held = self._held_removals.get(record.name)
        if held is not None and held.record.position < record.position:
            self._held_removals.pop(record.name)
        server = self._codec.decode_server(record)
        if server is None:
            self._servers.pop(record.name, None)
            self._eras.pop(record.name, None)
            return
        server = self._mark_departed(self._leaving.mark(server), record)
        self._servers[record.name] = server
        self._eras[record.name] = record.era
        _log.info(
            'Server entry adopted.',
            server=record.name,
            era=record.era,
            revision=record.revision,
            address=server.address,
            service=server.service,
            zone=server.zone,
            version=server.version,
            born=server.born,
            leaving=server.leaving,
            spot=server.spot,
        )

    def hold_removal(self, record: Record) -> bool:
        """Hold a removal if it may be that of a live server."""
        server = self._servers.get(record.name)
        if record.content is not None or server is None or server.leaving:
            return False
        # Later copies of a removal, with the revisions of the listings that
        # lacked the server, must not extend the delay.
        if record.name not in self._held_removals:
            now = self._clock.read_monotonic()
            effective_at = max(
                now + self._removal_delay_seconds, self._registration_ends_at
            )
            self._held_removals[record.name] = _HeldRemoval(
                record, effective_at
            )
            _log.info(
                'Removal of a server entry held.',
                server=record.name,
                era=record.era,
                revision=record.revision,
            )
        return True

    def list_due_removals(self) -> tuple[Record, ...]:
        """Return the held removals that take effect now."""
        now = self._clock.read_monotonic()
        return tuple(
            held.record
            for held in self._held_removals.values()
            if held.effective_at <= now
        )

    def _mark_departed(
        self, server: BackendServer, record: Record
    ) -> BackendServer:
        """Mark the server as leaving if only an older copy has its entry."""
        if not record.listed:
            self._departed.discard(record.name)
        elif not server.leaving and self._has_departed(server, record.era):
            server = replace(server, leaving=True)
            for observer in self._observers:
                observer(server)
        if server.leaving:
            self._departed.add(server, record.era)
        return server

    def _has_departed(self, server: BackendServer, era: int) -> bool:
        known = self._servers.get(server.name)
        is_replaced = (
            known is not None
            and self._eras[server.name] < era
            and server.born < known.born
        )
        return is_replaced or self._departed.contains(server, era)

    def _remove(self, record: Record) -> None:
        self._held_removals.pop(record.name, None)
        self._eras.pop(record.name, None)
        server = self._servers.pop(record.name, None)
        if server is None:
            return
        self._departed.add(server, record.era)
        _log.info(
            'Server entry removed.',
            server=record.name,
            era=record.era,
            revision=record.revision,
        )
