"""Plan this host's gossip rounds from the records that it holds."""

from collections.abc import Callable, Sequence
from typing import Final

from monsoonwall.decisions import gossip
from monsoonwall.decisions.gossip import RelayRole, Round
from monsoonwall.decisions.membership import Timing
from monsoonwall.mesh.outbox import Outbox
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.roster import Roster
from monsoonwall.mesh.store import SUMMARY_ZONE, HostRecord, RecordStore
from monsoonwall.mesh.summaries import SummaryWriter
from monsoonwall.metrics import MESH_PEERS

# Seeds are addresses at which another host may be found.
_SEED_INTERVAL_SECONDS: Final = 1.0
_MAX_SEEDS_PER_TRY: Final = 2
_RECENT_ADDRESS_SECONDS: Final = 7200.0


class RoundPlanner:
    """Choose the partners and zones of each round, and the seeds to try.

    A fleet is wide if it is too large for full exchange: hosts then exchange
    records within their zone only, and relays exchange zone summaries.
    """

    def __init__(
        self, store: RecordStore, seeds: Sequence[str], now: float
    ) -> None:
        self.roster = Roster(store)
        self.summaries = SummaryWriter(store)
        self.outbox = Outbox(store, store.own_log, now)
        self._store = store
        self._configured_seeds = frozenset(seeds)
        self._listed_seeds: frozenset[str] = frozenset()
        self._recent_addresses: dict[str, float] = {}
        self._address = ''
        self._next_seed_try = float('-inf')
        self._shuffle_seed = gossip.hash_with_seed(store.own.name, 0)
        self._push_count = 0
        self._wide = False
        self._find_preferred: Callable[[], str] = _prefer_none

    @property
    def wide(self) -> bool:
        """Return whether the fleet is too large for full exchange."""
        return self._wide

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the zones whose records are kept; none means all."""
        return (self._store.own.zone, SUMMARY_ZONE) if self._wide else ()

    @property
    def round_seconds(self) -> float:
        """Return the interval between rounds."""
        return (
            gossip.WIDE_ROUND_SECONDS
            if self._wide
            else gossip.FULL_ROUND_SECONDS
        )

    def plan(self, record: HostRecord, now: float) -> tuple[Round, ...]:
        """Return this round's exchanges; write due entries and summaries."""
        own = self._store.own
        peers = self.roster.list_peers()
        MESH_PEERS.set(len(peers))
        self._address = record.address
        self._remember_addresses(peers, now)
        self._wide = gossip.is_wide_fleet(self._wide, self.roster.count_hosts())
        self._store.membership.timing = Timing().scale_for(
            len(peers) + 1, self.round_seconds
        )
        self._update_summary(record, peers, now)
        self._flush(peers, now)
        if self._wide:
            return gossip.choose_wide_rounds(
                own, peers, now, self._shuffle_seed, self._find_preferred()
            )
        return (gossip.choose_round(own, peers, now, self._shuffle_seed),)

    def prefer_partner(self, find_partner: Callable[[], str]) -> None:
        """Register which host most likely knows what this one lacks."""
        self._find_preferred = find_partner

    def choose_push_targets(self, forwarded: bool) -> tuple[Peer, ...]:
        """Return the peers to push new facts to, or ones to forward."""
        self._push_count += 1
        return gossip.choose_push_targets(
            self._store.own,
            self.roster.list_peers(),
            self._wide,
            self._shuffle_seed + self._push_count,
            forwarded,
        )

    def replace_listed_seeds(self, addresses: Sequence[str]) -> None:
        """Replace the seed addresses that are listed in the platform."""
        self._listed_seeds = frozenset(addresses)

    def choose_seeds(self, now: float) -> tuple[str, ...]:
        """Return seed addresses to try that belong to no known host.

        Seeds are tried at most once a second and, in a wide fleet, only by
        relays and by hosts that know no other host of their zone.
        """
        peers = self.roster.list_peers()
        seeking = gossip.probes_unknown_addresses(
            self._store.own, peers, self._wide
        )
        if now < self._next_seed_try or not seeking:
            return ()
        self._next_seed_try = now + _SEED_INTERVAL_SECONDS
        known = {peer.address for peer in peers}
        unknown = self._collect_seeds() - known
        ranked = sorted(
            unknown,
            key=lambda seed: gossip.hash_with_seed(
                seed, self._shuffle_seed + int(now)
            ),
        )
        return tuple(ranked[:_MAX_SEEDS_PER_TRY])

    def list_addresses(self) -> set[str]:
        """Return the addresses of peers and seeds, which this host may call."""
        known = {peer.address for peer in self.roster.list_peers()}
        return known | self._collect_seeds()

    def _update_summary(
        self, record: HostRecord, peers: Sequence[Peer], now: float
    ) -> None:
        relaying = self._wide and not record.leaving
        role = (
            gossip.find_relay_role(self._store.own, peers)
            if relaying
            else RelayRole.none
        )
        self.summaries.update(record, role, now)

    def _flush(self, peers: Sequence[Peer], now: float) -> None:
        zones = {peer.zone for peer in peers} | {self._store.own.zone}
        receivers = sum(
            not self._wide or peer.zone == self._store.own.zone
            for peer in peers
        )
        self.outbox.flush(
            now, gossip.limit_entry_rate(1 + receivers, self._wide)
        )
        self.summaries.flush(now, gossip.limit_summary_rate(len(zones)))

    def _remember_addresses(self, peers: Sequence[Peer], now: float) -> None:
        # After a network partition the other side is found again at the
        # addresses where its hosts were.
        for peer in peers:
            if peer.leaving:
                self._recent_addresses.pop(peer.address, None)
            else:
                self._recent_addresses[peer.address] = (
                    now + _RECENT_ADDRESS_SECONDS
                )
        self._recent_addresses = {
            address: expires_at
            for address, expires_at in self._recent_addresses.items()
            if now < expires_at
        }

    def _collect_seeds(self) -> set[str]:
        return {
            *self._configured_seeds,
            *self._listed_seeds,
            *self._recent_addresses,
        } - {self._address}


def _prefer_none() -> str:
    return ''
