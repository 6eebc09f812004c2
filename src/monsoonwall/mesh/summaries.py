"""Summarize the entries of a zone while this host is one of its relays.

In a fleet too large for full exchange, hosts of other zones read the summary
instead of the entries of every host in the zone.
"""

from dataclasses import replace

from msgspec import msgpack

from monsoonwall.decisions.gossip import RelayRole
from monsoonwall.mesh.board import SUMMARY_PREFIX, Merge
from monsoonwall.mesh.logs import OriginLog
from monsoonwall.mesh.outbox import Outbox
from monsoonwall.mesh.store import (
    HOST_KIND,
    SUMMARY_ZONE,
    HostRecord,
    RecordStore,
)


class SummaryWriter:
    """Merge the entries of the zone's hosts into one summary log."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._merges: dict[str, Merge] = {}
        self._outbox: Outbox | None = None
        self._incarnation = store.own_log.incarnation

    def declare_merge(self, kind: str, merge: Merge) -> None:
        """Register how to merge the entries of a kind."""
        self._merges[kind] = merge

    def update(self, record: HostRecord, role: RelayRole, now: float) -> None:
        """Update the summary, or close it if this host is no relay.

        Only the lead relay writes merged entries. The summary log of a
        stand-by relay describes the relay; its other values are empty.
        """
        if role is RelayRole.none:
            self._close(record, now)
            return
        if self._outbox is None:
            self._open(now)
        relay_record = replace(record, hosts=self._count_zone_hosts())
        self._put(HOST_KIND, '', msgpack.encode(relay_record))
        for kind, merge in self._merges.items():
            self._summarize(kind, merge, role is RelayRole.lead)

    def flush(self, now: float, bytes_per_second: float) -> None:
        """Write pending values to the summary log at the allowed rate."""
        if self._outbox is not None:
            self._outbox.flush(now, bytes_per_second)

    def _summarize(self, kind: str, merge: Merge, leading: bool) -> None:
        stale_keys = self._outbox.list_keys(kind)
        for key, payloads in (
            self._group_by_key(kind).items() if leading else ()
        ):
            stale_keys.discard(key)
            self._put(kind, key, merge(payloads))
        for key in stale_keys:
            self._put(kind, key, b'')

    def _group_by_key(self, kind: str) -> dict[str, list[bytes]]:
        own_zone = self._store.own.zone
        grouped: dict[str, list[bytes]] = {}
        for entry in self._store.read_entries(kind):
            log = self._store.logs.find(entry.origin)
            if log is not None and log.zone == own_zone:
                grouped.setdefault(entry.key, []).append(entry.payload)
        return grouped

    def _put(self, kind: str, key: str, payload: bytes) -> None:
        if self._outbox.find(kind, key) != payload:
            self._outbox.put(kind, key, payload)

    def _open(self, now: float) -> None:
        own = self._store.own
        # The summary log gets a new incarnation each time this host becomes
        # a relay.
        self._incarnation += 1
        log = OriginLog(
            f'{SUMMARY_PREFIX}{own.zone}/{own.name}',
            SUMMARY_ZONE,
            self._incarnation,
        )
        self._store.open_log(log)
        self._outbox = Outbox(self._store, log, now)

    def _close(self, record: HostRecord, now: float) -> None:
        if self._outbox is None:
            return
        log = self._outbox.log
        left = msgpack.encode(replace(record, left=True))
        self._store.write(log, HOST_KIND, '', left)
        self._store.close_log(log, now)
        self._outbox = None

    def _count_zone_hosts(self) -> int:
        own_zone = self._store.own.zone
        return 1 + sum(
            not log.is_summary and log.zone == own_zone
            for log in self._store.list_host_logs()
        )
