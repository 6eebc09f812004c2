"""Declare the calls that one host at a time makes to the platform."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class DutyEnding(StrEnum):
    """Name how a duty's call ended.

    ``refused`` tells that a later holder has called, or that the order
    cannot be met now; ``lost`` that the call may yet be carried out.
    """

    done = 'done'
    refused = 'refused'
    unavailable = 'unavailable'
    lost = 'lost'


@dataclass(frozen=True)
class LeaseHolder:
    """Name the host that holds the duties, and its fencing number."""

    host_name: str
    fencing_number: int


@dataclass(frozen=True)
class UsageReport:
    """Hold the requests of each workspace that began in a window.

    Window ``number`` begins that many window lengths after 1970.
    """

    number: int
    counts: Mapping[str, int]


@dataclass(frozen=True)
class ServerOrder:
    """Ask for a number of servers of one kind in a zone."""

    service: str
    zone: str
    count: int
    spot: bool


class DutyWorker(ABC):
    """Do a part of the duties while this host holds them."""

    @abstractmethod
    async def step(self, holder: LeaseHolder) -> None:
        """Do what is due now."""

    def reset(self) -> None:  # noqa: B027
        """Drop what was known in earlier terms, when a term begins."""


class DutyCalls(ABC):
    """Call the platform on behalf of the holder."""

    @abstractmethod
    async def report_usage(
        self, holder: LeaseHolder, report: UsageReport
    ) -> DutyEnding:
        """Report a window; repeating the same report does no harm."""

    @abstractmethod
    async def order_servers(
        self, holder: LeaseHolder, order: ServerOrder
    ) -> DutyEnding:
        """Order servers."""
