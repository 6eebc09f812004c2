"""Declare what the streams package asks of the task that runs requests."""

from abc import ABC, abstractmethod

from monsoonwall.pipeline.answers import Answer


class AnswerRunner(ABC):
    """Find, continue and take over answers on this host."""

    @abstractmethod
    def find_answer(self, request_id: str) -> Answer | None:
        """Return an answer that this host has, being filled if not ended."""

    @abstractmethod
    def take_over(self, request_id: str, reason: str) -> Answer | None:
        """Run a request whose copy is here; None if it is not."""
