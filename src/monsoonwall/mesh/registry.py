"""List some hosts of each zone in the platform, for hosts that start.

One object a zone holds the addresses of a few of its hosts. The zone's
relays write it when it changes and read all of them now and then, so that
parts of the fleet that know nothing of each other meet again.
"""

import asyncio
from typing import Final

from msgspec import DecodeError, ValidationError, json
from returns.pipeline import is_successful

from monsoonwall.decisions.gossip import (
    Identity,
    RelayRole,
    find_relay_role,
    seeded_hash,
)
from monsoonwall.logs import make_logger
from monsoonwall.mesh.peers import Peer
from monsoonwall.mesh.rounds import Planner
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


class Registry:
    """Own this host's part in the platform's list of hosts."""

    def __init__(
        self,
        own: Identity,
        address: str,
        planner: Planner,
        store: ObjectStore,
    ) -> None:
        self._own = own
        self._key = f'{_PREFIX}{own.zone}'
        self._address = address
        self._planner = planner
        self._store = store

    async def run(self) -> None:
        """Read and write the list until cancelled."""
        while True:
            await self._refresh()
            await asyncio.sleep(self._choose_pause())

    def _choose_pause(self) -> float:
        peers = self._planner.roster.list_peers()
        jitter = seeded_hash(self._own.name, 0) % 1000 / 1000
        seconds = _REFRESH_SECONDS if peers else _REFRESH_SECONDS_WITHOUT_PEERS
        return seconds * (1 + jitter / 2)

    async def _refresh(self) -> None:
        peers = self._planner.roster.list_peers()
        is_relay = find_relay_role(self._own, peers) is not RelayRole.none
        if peers and not is_relay:
            return
        found = await self._store.list_objects(_PREFIX, CallReason.membership)
        if not is_successful(found):
            _log.warning('Platform lists no hosts.', reason=found.failure())
            return
        listed = {one.key: one for one in found.unwrap()}
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
            # A conflict means that another relay has just written.
            await self._store.update(
                stored.key,
                json.encode(addresses),
                stored.version,
                CallReason.membership,
            )


def choose_addresses(
    own: Identity, address: str, peers: tuple[Peer, ...]
) -> tuple[str, ...]:
    """Return the addresses that stand for a zone, the same on its hosts."""
    by_name = {
        peer.name: peer.address
        for peer in peers
        if peer.zone == own.zone and not peer.leaving
    }
    by_name[own.name] = address
    ranked = sorted(by_name, key=lambda name: seeded_hash(name, 0))
    return tuple(by_name[name] for name in ranked[:_MAX_ADDRESSES])


def _read_addresses(stored: StoredObject) -> tuple[str, ...]:
    try:
        return json.decode(stored.content, type=tuple[str, ...])
    except (DecodeError, ValidationError):
        return ()
