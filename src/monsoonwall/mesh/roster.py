"""Present the record store as a view of the whole fleet."""

from collections import Counter
from dataclasses import replace

from monsoonwall.decisions.gossip import hash_with_seed
from monsoonwall.mesh.board import SUMMARY_PREFIX, Entry
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.store import HostLog, RecordStore


class Roster:
    """List peers, count hosts and read entries of hosts and summaries.

    The derived tables are rebuilt when the store's ``hosts_version`` changes.
    """

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._hosts_version = -1
        self._peers: dict[str, Peer] = {}
        self._summaries: dict[str, HostLog] = {}
        self._zones_by_summary: dict[str, str] = {}

    def list_peers(self) -> tuple[Peer, ...]:
        """Return the other known hosts, those in the nearest zones first."""
        self._refresh()
        return tuple(reversed(self._peers.values()))

    def find_peer(self, name: str) -> Peer | None:
        """Return the peer with a name, or None if it is unknown."""
        self._refresh()
        return self._peers.get(name)

    def count_hosts(self) -> int:
        """Return the number of hosts in the fleet, as far as known.

        Of a zone whose hosts are not all known here, the summary gives the
        number.
        """
        self._refresh()
        counts = Counter(peer.zone for peer in self._peers.values())
        counts[self._store.own.zone] += 1
        for zone, summary in self._summaries.items():
            counts[zone] = max(counts[zone], summary.record.hosts)
        return counts.total()

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return the entries of a kind, with zones replaced by summaries.

        If a summary of another zone is known, its entries (one per key)
        replace those of the zone's hosts. The own zone is always read host
        by host, since all of its hosts are known.
        """
        self._refresh()
        entries = self._store.read_entries(kind)
        if not self._summaries:
            return entries
        visible = map(self.present_entry, entries)
        return tuple(entry for entry in visible if entry is not None)

    def present_entry(self, entry: Entry) -> Entry | None:
        """Return an entry as ``read_entries`` would, or None if it is hidden.

        Hidden are entries of hosts whose zone has a summary, entries of
        summaries that are not in use, and deleted summary entries (those
        with an empty payload).
        """
        self._refresh()
        if not entry.origin.startswith(SUMMARY_PREFIX):
            peer = self._peers.get(entry.origin)
            hidden = peer is not None and peer.zone in self._summaries
            return None if hidden else entry
        zone = self._zones_by_summary.get(entry.origin)
        if zone is None or not entry.payload:
            return None
        return replace(entry, origin=f'{SUMMARY_PREFIX}{zone}')

    def _refresh(self) -> None:
        if self._hosts_version == self._store.hosts_version:
            return
        self._hosts_version = self._store.hosts_version
        own = self._store.own
        logs = sorted(
            self._store.list_host_logs(),
            key=lambda log: (
                log.record.zone != own.zone,
                log.record.region != own.region,
                log.record.zone,
                log.record.name,
                log.is_summary,
            ),
        )
        # A host may appear twice, by its own log and by a summary that it
        # writes. Its own log sorts first and, as the order is reversed
        # here, replaces the summary: it is the more detailed one.
        self._peers = {
            log.record.name: log.peer
            for log in reversed(logs)
            if log.record.name != own.name
        }
        summaries = [log for log in logs if log.is_summary]
        self._summaries = _choose_summaries(summaries, own.zone)
        self._zones_by_summary = {
            log.name: zone for zone, log in self._summaries.items()
        }


def _choose_summaries(
    summaries: list[HostLog], own_zone: str
) -> dict[str, HostLog]:
    """Return the summary in use for each other zone.

    It is that of the zone's lead relay: of the relays that are not leaving,
    the one whose name has the lowest hash. It is last in the order below.
    """
    ranked = sorted(
        summaries,
        key=lambda log: (
            log.record.leaving,
            hash_with_seed(log.record.name, 0),
        ),
        reverse=True,
    )
    return {
        log.record.zone: log for log in ranked if log.record.zone != own_zone
    }
