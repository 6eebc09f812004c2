"""Read the store as the other parts of the host see the fleet."""

from collections import Counter
from dataclasses import replace

from monsoonwall.decisions.gossip import seeded_hash
from monsoonwall.mesh.board import SUMMARY_PREFIX, Entry
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.store import HostLog, RecordStore


class Roster:
    """List peers, count hosts and read entries over hosts and summaries."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._hosts_version = -1
        self._peers: dict[str, Peer] = {}
        self._summaries: dict[str, HostLog] = {}
        self._zones: dict[str, str] = {}

    def list_peers(self) -> tuple[Peer, ...]:
        """Return the other hosts known here, nearest zones first."""
        self._refresh()
        return tuple(reversed(self._peers.values()))

    def find_peer(self, name: str) -> Peer | None:
        """Return another host by its name."""
        self._refresh()
        return self._peers.get(name)

    def count_hosts(self) -> int:
        """Return the number of hosts of the fleet, as far as known."""
        self._refresh()
        counts = Counter(peer.zone for peer in self._peers.values())
        counts[self._store.own.zone] += 1
        for zone, summary in self._summaries.items():
            counts[zone] = max(counts[zone], summary.record.hosts)
        return counts.total()

    def read_entries(self, kind: str) -> tuple[Entry, ...]:
        """Return a kind's entries: one a host, or one a zone and key.

        A zone whose summary is known is represented by it, but for the own
        zone, of which every host is known.
        """
        self._refresh()
        entries = self._store.read_entries(kind)
        if not self._summaries:
            return entries
        visible = map(self.to_visible, entries)
        return tuple(entry for entry in visible if entry is not None)

    def to_visible(self, entry: Entry) -> Entry | None:
        """Return an entry as other parts see it, None if they do not."""
        self._refresh()
        if not entry.origin.startswith(SUMMARY_PREFIX):
            peer = self._peers.get(entry.origin)
            hidden = peer is not None and peer.zone in self._summaries
            return None if hidden else entry
        zone = self._zones.get(entry.origin)
        if zone is None or not entry.payload:
            return None
        return replace(entry, origin=f'{SUMMARY_PREFIX}{zone}')

    def _refresh(self) -> None:
        if self._hosts_version == self._store.hosts_version:
            return
        self._hosts_version = self._store.hosts_version
        own = self._store.own
        logs = sorted(
            self._store.list_hosts(),
            key=lambda log: (
                log.record.zone != own.zone,
                log.record.region != own.region,
                log.record.zone,
                log.record.name,
                log.is_summary,
            ),
        )
        # A host's own log, which sorts before its summary, tells more.
        self._peers = {
            log.record.name: log.peer
            for log in reversed(logs)
            if log.record.name != own.name
        }
        summaries = [log for log in logs if log.is_summary]
        self._summaries = _choose_summaries(summaries, own.zone)
        self._zones = {log.name: zone for zone, log in self._summaries.items()}


def _choose_summaries(
    summaries: list[HostLog], own_zone: str
) -> dict[str, HostLog]:
    ranked = sorted(
        summaries,
        key=lambda log: (log.record.leaving, seeded_hash(log.record.name, 0)),
        reverse=True,
    )
    return {
        log.record.zone: log for log in ranked if log.record.zone != own_zone
    }
