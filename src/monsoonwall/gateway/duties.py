"""Define the platform calls that only one host at a time may make.

These calls are the duties. The host that holds the duty lease makes them, with
the fencing number of its lease, so that the platform can refuse a host whose
lease has passed to another.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class DutyEnding(StrEnum):
    """Result of a duty call.

    ``refused``: the platform has seen a later lease holder, or cannot fulfil
    the order now. ``unavailable``: the platform did not accept the call.
    ``lost``: no usable reply arrived, so the call may still take effect.
    """

    done = 'done'
    refused = 'refused'
    unavailable = 'unavailable'
    lost = 'lost'


@dataclass(frozen=True)
class LeaseHolder:
    """The host that holds the duty lease, and its fencing number."""

    host_name: str
    fencing_number: int


@dataclass(frozen=True)
class UsageReport:
    """Number of requests of each workspace that began in one window.

    Window ``number`` begins that many window lengths after the Unix epoch.
    """

    number: int
    counts: Mapping[str, int]


@dataclass(frozen=True)
class ServerOrder:
    """The total number of spot, or on-demand, servers a zone should have."""

    service: str
    zone: str
    count: int
    spot: bool


class DutyWorker(ABC):
    """One recurring task that runs only on the lease holder."""

    @abstractmethod
    async def step(self, holder: LeaseHolder) -> None:
        """Make the calls that are due now."""

    def reset(self) -> None:  # noqa: B027
        """Discard state from earlier lease terms when a new term begins."""


class DutyCalls(ABC):
    """Interface to the platform for the lease holder."""

    @abstractmethod
    async def report_usage(
        self, holder: LeaseHolder, report: UsageReport
    ) -> DutyEnding:
        """Report the usage of a window; reports are idempotent."""

    @abstractmethod
    async def order_servers(
        self, holder: LeaseHolder, order: ServerOrder
    ) -> DutyEnding:
        """Set the number of spot, or on-demand, servers in a zone."""
