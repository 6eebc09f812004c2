"""Refuse calls that a configuration which may be old must not admit."""

from collections.abc import Callable
from typing import Final

from returns.result import Failure, Result

from monsoonwall.decisions.freshness import WorkKind
from monsoonwall.pipeline.messages import (
    Call,
    Effect,
    Refusal,
    RefusalReason,
)
from monsoonwall.pipeline.stages import Admission

_RETRY_AFTER_SECONDS: Final = 2.0


class FreshnessAdmission(Admission):
    """Ask the currency of the configuration first, then another rule."""

    def __init__(
        self, inner: Admission, may_work: Callable[[WorkKind], bool]
    ) -> None:
        self._inner = inner
        self._may_work = may_work

    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the call, or why it is refused."""
        if not call.idempotent and not self._may_work(
            WorkKind.non_idempotent_call
        ):
            return Failure(
                Refusal(
                    RefusalReason.stale_configuration,
                    Effect.not_run,
                    'this host may not know the newest configuration; '
                    'send the call again later or to another host',
                    _RETRY_AFTER_SECONDS,
                )
            )
        return self._inner.admit(call, now)

    def release(self, call: Call, now: float) -> None:
        """Give back what the call held."""
        self._inner.release(call, now)
