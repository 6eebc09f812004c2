"""Define the interface through which answers are found and taken over."""

from abc import ABC, abstractmethod

from monsoonwall.pipeline.answers import Answer


class AnswerRunner(ABC):
    """Find answers on this host, and take over requests of other hosts."""

    @abstractmethod
    def find_answer(self, request_id: str) -> Answer | None:
        """Return an answer of this host, resumed if it was paused."""

    @abstractmethod
    def take_over(self, request_id: str, reason: str) -> Answer | None:
        """Run a request that this host has a copy of; None without a copy."""
