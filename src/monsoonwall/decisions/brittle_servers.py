"""Decide how to use servers that fail when they reject many requests.

Such a server names how many requests a second it can reject, those of all
hosts together. The hosts agree on nothing: each leaves a server that has
rejected a request alone for as long as the others may take to have one
rejected too, and sends to none whose known requests take all its slots.
"""

from typing import Final

_MAX_BACKOFF_SECONDS: Final = 10.0


def find_backoff_seconds(hosts: int, rejections_per_second: float) -> float:
    """Return for how long a host leaves a server alone after a rejection."""
    if rejections_per_second <= 0:
        return _MAX_BACKOFF_SECONDS
    return min(_MAX_BACKOFF_SECONDS, hosts / rejections_per_second)


def has_room(running: int, slots: int) -> bool:
    """Return whether a request would start without waiting for a slot."""
    return running < slots
