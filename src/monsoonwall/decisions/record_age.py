"""Decide when a host reads the platform's store for itself.

Between its turns to watch the store, a host depends on what other hosts send.
It may hear nothing although the store is in its reach: it is cut off from the
others, or those whose turns it is have been lost. Callers must not be sent to
a server that has left, nor served by an old configuration, for longer than a
bound. So a host reads the store when its records have not been confirmed for
that time, less what the reading takes.
"""

from typing import Final

# Time for the call, on a busy host, and for what was chosen before to be sent.
_READING_SECONDS: Final = 0.4
# Time for a request to reach its server, once it has been written.
_SENDING_SECONDS: Final = 0.2


def find_reading_time(confirmed_at: float, bound_seconds: float) -> float:
    """Return when a host reads records that were last confirmed at a time.

    ``bound_seconds`` is the time within which a change must take effect.
    """
    return confirmed_at + max(
        _READING_SECONDS, bound_seconds - _READING_SECONDS
    )


def find_latest_use(confirmed_at: float, bound_seconds: float) -> float:
    """Return until when records may be used that were confirmed at a time."""
    return confirmed_at + max(0, bound_seconds - _SENDING_SECONDS)


def find_current_time(
    began_at: float, waits_until: float, responded_at: float, *, changed: bool
) -> float:
    """Return up to when a watch's response states all changes.

    A store that has changes responds at once, and its response may be read
    long after that. One without changes is not made before the wait is over.
    All times are in the monotonic seconds of the host that watches.
    """
    if changed or responded_at < waits_until:
        return began_at
    return waits_until
