"""Map errors of the HTTP client to failures of attempts."""

from typing import Final

from tornado.httpclient import HTTPError
from tornado.simple_httpclient import HTTPTimeoutError

from monsoonwall.pipeline.messages import AttemptEnding, AttemptFailure

BUSY_STATUSES: Final = frozenset((429, 503))


def classify_error(error: Exception) -> AttemptFailure:
    """Return how an attempt ended and whether it may have run."""
    if isinstance(error, ConnectionRefusedError):
        return AttemptFailure(AttemptEnding.unreachable, 'refused', False)
    if isinstance(error, HTTPTimeoutError):
        # A request that timed out before it was sent cannot have run. Only
        # tornado's message tells that apart from a later timeout.
        connecting = 'during request' not in str(error)
        return AttemptFailure(
            AttemptEnding.unreachable
            if connecting
            else AttemptEnding.timed_out,
            str(error),
            not connecting,
        )
    if isinstance(error, HTTPError) and error.response is not None:
        busy = error.code in BUSY_STATUSES
        return AttemptFailure(
            AttemptEnding.busy if busy else AttemptEnding.failed,
            f'status {error.code}',
            not busy,
        )
    return AttemptFailure(AttemptEnding.crashed, str(error), True)
