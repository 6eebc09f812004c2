"""Declare the cloud API as monsoonwall uses it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result


class CloudFailure(StrEnum):
    """Name why a call to the cloud API failed.

    ``refused`` means that no such host is to be had now; after ``lost`` the
    call may have had its effect.
    """

    refused = 'refused'
    unavailable = 'unavailable'
    lost = 'lost'


@dataclass(frozen=True)
class ReclaimNotice:
    """Announce that a backend server's host will be taken away.

    Numbers grow by one a notice; ``deadline_wall`` is in Unix seconds.
    """

    number: int
    server: str
    deadline_wall: float


@dataclass(frozen=True)
class HostOrder:
    """Ask for a host."""

    name: str
    zone: str
    machine_class: str
    reclaimable: bool


@dataclass(frozen=True)
class CloudHost:
    """Describe a host on the cloud's list, which lags."""

    name: str
    zone: str
    machine_class: str
    reclaimable: bool
    leaving: bool


class CloudApi(ABC):
    """Start and stop hosts, and learn which are taken away."""

    @abstractmethod
    async def wait_notices(
        self, after: int, deadline: float
    ) -> Result[tuple[ReclaimNotice, ...], CloudFailure]:
        """Return the notices numbered above ``after``.

        Waits for one until the deadline (monotonic seconds), then returns
        none.
        """

    @abstractmethod
    async def list_hosts(
        self,
    ) -> Result[tuple[CloudHost, ...], CloudFailure]:
        """Return the live and leaving hosts as known a while ago."""

    @abstractmethod
    async def start_host(
        self, order: HostOrder
    ) -> Result[CloudHost, CloudFailure]:
        """Start a host, unless the cloud refuses."""

    @abstractmethod
    async def stop_host(self, name: str) -> Result[None, CloudFailure]:
        """Stop a host; one that is gone is no failure."""
