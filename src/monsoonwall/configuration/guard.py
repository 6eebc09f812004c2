"""Refuse calls that must not run under an outdated configuration."""

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
    """Check that the configuration is fresh, then another admission rule.

    Only calls that are not idempotent depend on the freshness.
    """

    def __init__(
        self, inner: Admission, may_work: Callable[[WorkKind], bool]
    ) -> None:
        self._inner = inner
        self._may_work = may_work

    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the admitted call, or the refusal."""
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
        """Release what the inner rule reserved for the call."""
        self._inner.release(call, now)
