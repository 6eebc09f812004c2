"""Tell from a client's error how an attempt ended."""

from typing import Final

from tornado.httpclient import HTTPError
from tornado.simple_httpclient import HTTPTimeoutError

from monsoonwall.pipeline.messages import AttemptEnding, AttemptFailure

BUSY_STATUSES: Final = frozenset((429, 503))


def classify_error(error: Exception) -> AttemptFailure:
    """Tell from a client's error how the attempt ended."""
    if isinstance(error, ConnectionRefusedError):
        return AttemptFailure(AttemptEnding.unreachable, 'refused', False)
    if isinstance(error, HTTPTimeoutError):
        # Before the request is on its way nothing of it can have run.
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
