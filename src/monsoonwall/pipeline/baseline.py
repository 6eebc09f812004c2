"""Fill the stages with the plainest rules that serve a request."""

from itertools import count

from returns.result import Failure, Result, Success

from monsoonwall.configuration.model import Configuration
from monsoonwall.pipeline.messages import (
    AttemptFailure,
    Call,
    Effect,
    Refusal,
    RefusalReason,
    ServerChoice,
    ServiceReply,
)
from monsoonwall.pipeline.stages import (
    Admission,
    Claiming,
    RetryRule,
    Screening,
    ServerRouting,
    VersionChoice,
)

_MAX_ATTEMPTS = 4
_RETRY_AFTER_SECONDS = 1.0


class OpenAdmission(Admission):
    """Admit every call."""

    def admit(self, call: Call, now: float) -> Result[Call, Refusal]:
        """Return the call."""
        return Success(call)

    def release(self, call: Call, now: float) -> None:
        """Hold nothing, so give back nothing."""


class OpenScreening(Screening):
    """Suspect no call."""

    def screen(self, call: Call, now: float) -> Result[bool, Refusal]:
        """Return that the call need not run apart."""
        return Success(False)


class ActiveVersionChoice(VersionChoice):
    """Choose the active version of the call's service."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def choose_version(self, call: Call, now: float) -> str:
        """Return the active version."""
        return self._configuration.services[call.service].active_version


class RoundRobinRouting(ServerRouting):
    """Take the servers of a version in turn."""

    def __init__(self, configuration: Configuration) -> None:
        self._servers = configuration.backend_servers
        self._turns = count()

    def choose_server(
        self,
        call: Call,
        version: str,
        excluded: frozenset[str],
        isolated: bool,
        now: float,
    ) -> Result[ServerChoice, Refusal]:
        """Return the next server that is not excluded."""
        fitting = [
            name
            for name, server in self._servers.items()
            if (server.service, server.version) == (call.service, version)
            and name not in excluded
        ]
        if not fitting:
            return Failure(
                Refusal(
                    RefusalReason.no_server,
                    Effect.not_run,
                    'no backend server of this version is left',
                    _RETRY_AFTER_SECONDS,
                )
            )
        name = fitting[next(self._turns) % len(fitting)]
        return Success(ServerChoice(name, self._servers[name].zone, version))

    def note_dispatch(
        self, call: Call, choice: ServerChoice, now: float
    ) -> None:
        """Learn nothing."""


class FixedRetryRule(RetryRule):
    """Retry at once, a fixed number of times."""

    def decide_retry(
        self, call: Call, attempt: int, failure: AttemptFailure, now: float
    ) -> Result[float, Refusal]:
        """Return now, or the refusal when the attempts are used up."""
        repeatable = call.idempotent or not failure.may_have_run
        if repeatable and attempt < _MAX_ATTEMPTS and now < call.deadline:
            return Success(now)
        effect = Effect.unknown if failure.may_have_run else Effect.not_run
        return Failure(
            Refusal(
                RefusalReason.no_server,
                effect,
                f'the last attempt ended: {failure.ending}',
                _RETRY_AFTER_SECONDS,
            )
        )


class OpenClaiming(Claiming):
    """Claim nothing."""

    async def claim(self, call: Call) -> Result[ServiceReply | None, Refusal]:
        """Return that the claim is new."""
        return Success(None)

    async def conclude(
        self, call: Call, ending: ServiceReply | AttemptFailure
    ) -> None:
        """Record nothing."""
