"""Fill the stages with the plainest rules that serve a request."""

from returns.result import Result, Success

from monsoonwall.configuration.model import Configuration
from monsoonwall.pipeline.messages import (
    AttemptFailure,
    Call,
    Refusal,
    ServiceReply,
)
from monsoonwall.pipeline.stages import Claiming, VersionChoice


class ActiveVersionChoice(VersionChoice):
    """Choose the active version of the call's service."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def choose_version(self, call: Call, now: float) -> str:
        """Return the active version."""
        return self._configuration.services[call.service].active_version


class OpenClaiming(Claiming):
    """Claim nothing."""

    async def claim(self, call: Call) -> Result[ServiceReply | None, Refusal]:
        """Return that the claim is new."""
        return Success(None)

    async def conclude(
        self, call: Call, ending: ServiceReply | AttemptFailure
    ) -> None:
        """Record nothing."""
