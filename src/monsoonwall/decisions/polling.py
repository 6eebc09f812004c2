"""Divide the polling of backend servers among the entry hosts.

Also choose how often a host publishes what it has polled.
"""

from collections.abc import Iterable
from typing import Final

from monsoonwall.decisions.hashing import hash_text

_POLLERS_PER_SERVER: Final = 2
_MIN_PERIOD_SECONDS: Final = 0.5
_MAX_PERIOD_SECONDS: Final = 5.0
_MAX_RECEIVED_BYTES_PER_SECOND: Final = 8000


def rank_poller(server: str, host: str, hosts: Iterable[str]) -> int | None:
    """Return the rank of a host among those that poll a server, or None.

    Hosts that know the same hosts agree without communication (rendezvous
    hashing). When a host leaves, only its servers get another poller.
    """
    ranked = sorted(
        hosts, key=lambda name: hash_text(f'{server}/{name}'), reverse=True
    )
    pollers = ranked[:_POLLERS_PER_SERVER]
    return pollers.index(host) if host in pollers else None


def choose_message_period(message_bytes: int, hosts: int) -> float:
    """Return the seconds between two load messages of a host.

    Every host receives the messages of all hosts, so the period grows with
    the number of hosts, to keep the bytes received per second within the
    limit.
    """
    period = message_bytes * hosts / _MAX_RECEIVED_BYTES_PER_SECOND
    return min(_MAX_PERIOD_SECONDS, max(_MIN_PERIOD_SECONDS, period))
