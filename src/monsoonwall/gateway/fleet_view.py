"""Describe the fleet of hosts as this host sees it."""

from typing import Final

from monsoonwall.decisions.server_limits import VisibleFleet
from monsoonwall.mesh.peers import Peers

# Number of hosts assumed until this host has met another.
_ASSUMED_HOSTS: Final = 9
# The fleet counts as known after as many updates without a further host.
_SETTLED_UPDATES: Final = 3


class FleetView:
    """Count the hosts of the fleet and list those that this host can see."""

    def __init__(
        self, peers: Peers, own_name: str, own_zone: str, alone: bool
    ) -> None:
        self.own_zone = own_zone
        self._own_name = own_name
        self._peers = peers
        self._alone = alone
        self._max_hosts = 1 if alone else _ASSUMED_HOSTS
        self._updates_without_growth = 0
        self._visible_hosts = 1
        self._has_met_hosts = False

    def update(self, reporting_hosts: int, fleet_hosts: int) -> None:
        """Update the number of hosts; ``reporting_hosts`` publish grants.

        In a large fleet the mesh lists only the hosts of this zone; those of
        other zones are counted by their grants. ``fleet_hosts`` is the highest
        number that any host has seen, which a host that has restarted, perhaps
        in a zone that is cut off, cannot count itself.
        """
        other_hosts = max(reporting_hosts, len(self._peers.list_peers()))
        max_hosts = self._max_hosts
        if other_hosts and not self._has_met_hosts:
            self._has_met_hosts = True
            self._max_hosts = 1
        self._visible_hosts = other_hosts + 1
        self._max_hosts = max(self._max_hosts, self._visible_hosts, fleet_hosts)
        if self._has_met_hosts and self._max_hosts == max_hosts:
            self._updates_without_growth += 1
        else:
            self._updates_without_growth = 0

    @property
    def is_settled(self) -> bool:
        """Return whether this host has found the others of its fleet."""
        return self._alone or self._updates_without_growth >= _SETTLED_UPDATES

    def count_hosts(self) -> int:
        """Return the highest number of hosts known at once so far."""
        return self._max_hosts

    def describe(self) -> VisibleFleet:
        """Return the hosts among which the limits of servers are divided."""
        peers = [peer for peer in self._peers.list_peers() if not peer.leaving]
        zone_peers = (peer.name for peer in peers if peer.zone == self.own_zone)
        return VisibleFleet(
            self._own_name,
            self.own_zone,
            tuple(sorted({self.own_zone, *(peer.zone for peer in peers)})),
            (self._own_name, *zone_peers),
            min(1, self._visible_hosts / self._max_hosts),
        )
