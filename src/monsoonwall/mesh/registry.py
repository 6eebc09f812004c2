"""Publish seed addresses of each zone in the platform's object store.

One object per zone holds the addresses of a few of its hosts. Hosts that
start read them to find the mesh. The zone's relays write the object when it
changes and regularly read those of all zones, so that parts of the fleet that
have lost contact with each other reconnect.
"""

import asyncio
from typing import Final

from msgspec import json
from returns.pipeline import is_successful

from monsoonwall.decisions.gossip import (
    Identity,
    RelayRole,
    find_relay_role,
    hash_with_seed,
)
from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.logs import make_logger
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.rounds import RoundPlanner
from monsoonwall.platform.objects import (
    CallReason,
    ObjectStore,
    StoredObject,
)

_PREFIX: Final = 'membership/'
_MAX_ADDRESSES: Final = 8
_REFRESH_SECONDS: Final = 60.0
_REFRESH_SECONDS_WITHOUT_PEERS: Final = 5.0

_log = make_logger('registry')


class SeedRegistry:
    """Read the seeds of all zones; on a relay, also write those of its own."""

    def __init__(
        self,
        own: Identity,
        address: str,
        planner: RoundPlanner,
        store: ObjectStore,
    ) -> None:
        self._own = own
        self._key = f'{_PREFIX}{own.zone}'
        self._address = address
        self._planner = planner
        self._store = store

    async def run(self) -> None:
        """Refresh the seeds regularly until cancelled."""
        while True:
            await self._refresh()
            await asyncio.sleep(self._choose_pause())

    def _choose_pause(self) -> float:
        peers = self._planner.roster.list_peers()
        jitter = hash_with_seed(self._own.name, 0) % 1000 / 1000
        seconds = _REFRESH_SECONDS if peers else _REFRESH_SECONDS_WITHOUT_PEERS
        return seconds * (1 + jitter / 2)

    async def _refresh(self) -> None:
        peers = self._planner.roster.list_peers()
        is_relay = find_relay_role(self._own, peers) is not RelayRole.none
        if peers and not is_relay:
            return
        found = await self._store.list_objects(_PREFIX, CallReason.membership)
        if not is_successful(found):
            _log.warning(
                'Could not list hosts from the platform.',
                reason=found.failure(),
            )
            return
        listed = {
            listed_object.key: listed_object for listed_object in found.unwrap()
        }
        seeds = [
            address
            for stored in listed.values()
            for address in _read_addresses(stored)
        ]
        self._planner.replace_listed_seeds(seeds)
        if is_relay:
            await self._write(listed.get(self._key), peers)

    async def _write(
        self, stored: StoredObject | None, peers: tuple[Peer, ...]
    ) -> None:
        addresses = choose_addresses(self._own, self._address, peers)
        if stored is None:
            await self._store.create(
                self._key,
                json.encode(addresses),
                CallReason.membership,
            )
        elif set(addresses) != set(_read_addresses(stored)):
            # The update fails with a conflict if another relay has just
            # written the object. A later refresh corrects any difference.
            await self._store.update(
                stored.key,
                json.encode(addresses),
                stored.version,
                CallReason.membership,
            )


def choose_addresses(
    own: Identity, address: str, peers: tuple[Peer, ...]
) -> tuple[str, ...]:
    """Return the addresses to list for a zone, the same on all its hosts."""
    by_name = {
        peer.name: peer.address
        for peer in peers
        if peer.zone == own.zone and not peer.leaving
    }
    by_name[own.name] = address
    ranked = sorted(by_name, key=lambda name: hash_with_seed(name, 0))
    return tuple(by_name[name] for name in ranked[:_MAX_ADDRESSES])


def _read_addresses(stored: StoredObject) -> tuple[str, ...]:
    try:
        return json.decode(stored.content, type=tuple[str, ...])
    except DECODE_ERRORS:
        return ()
