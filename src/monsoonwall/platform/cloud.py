"""Define the interface to the cloud API."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result


class CloudFailure(StrEnum):
    """Reason why a call to the cloud API failed.

    ``refused``: no such host is available now. ``unavailable``: the call had
    no effect. ``lost``: the call may have taken effect.
    """

    refused = 'refused'
    unavailable = 'unavailable'
    lost = 'lost'


@dataclass(frozen=True)
class ReclaimNotice:
    """Notice that the cloud will reclaim the host of a backend server.

    Notices are numbered consecutively. ``deadline_wall`` is in Unix seconds.
    """

    number: int
    server: str
    deadline_wall: float


@dataclass(frozen=True)
class HostOrder:
    """Request to start a host."""

    name: str
    zone: str
    machine_class: str
    reclaimable: bool


@dataclass(frozen=True)
class CloudHost:
    """A host as the cloud lists it; the list may be out of date."""

    name: str
    zone: str
    machine_class: str
    reclaimable: bool
    leaving: bool


class CloudApi(ABC):
    """Interface to start, stop and list hosts and to watch reclaims."""

    @abstractmethod
    async def wait_notices(
        self, after: int, deadline: float
    ) -> Result[tuple[ReclaimNotice, ...], CloudFailure]:
        """Return the notices with numbers above ``after``.

        Waits for at least one; returns none when the deadline (monotonic
        seconds) passes.
        """

    @abstractmethod
    async def list_hosts(
        self,
    ) -> Result[tuple[CloudHost, ...], CloudFailure]:
        """Return running and leaving hosts; the list may be out of date."""

    @abstractmethod
    async def start_host(
        self, order: HostOrder
    ) -> Result[CloudHost, CloudFailure]:
        """Start a host; ``refused`` if none is available."""

    @abstractmethod
    async def stop_host(self, name: str) -> Result[None, CloudFailure]:
        """Stop a host; succeeds if it no longer exists."""
