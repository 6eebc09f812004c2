"""Declare a plain service as monsoonwall uses it."""

from abc import ABC, abstractmethod

from returns.result import Result

from monsoonwall.pipeline.messages import AttemptFailure, Call, ServiceReply


class PlainService(ABC):
    """Talk to one server of a plain service."""

    @abstractmethod
    async def send_call(
        self, call: Call
    ) -> Result[ServiceReply, AttemptFailure]:
        """Run the call once and return its whole answer."""
