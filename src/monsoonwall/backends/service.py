"""Define the interface to a plain service."""

from abc import ABC, abstractmethod

from returns.result import Result

from monsoonwall.pipeline.messages import AttemptFailure, Call, ServiceReply


class PlainService(ABC):
    """Interface to one server of a plain service."""

    @abstractmethod
    async def send_call(
        self, call: Call
    ) -> Result[ServiceReply, AttemptFailure]:
        """Send the call once and return the complete response."""
