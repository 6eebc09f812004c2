"""Collect the components that handle a request."""

from dataclasses import dataclass

from monsoonwall.clocks import Clock
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.entrance import Entrance
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.placing import Placer
from monsoonwall.gateway.repeating import Repeater
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.runs import RunBook
from monsoonwall.gateway.screening import Screener
from monsoonwall.gateway.sending import Sender
from monsoonwall.gateway.usage import UsageCounter


@dataclass(frozen=True)
class RequestDependencies:
    """Components that the ``Conductor`` uses for every request."""

    entrance: Entrance
    screener: Screener
    placer: Placer
    repeater: Repeater
    sender: Sender
    loads: LoadTracker
    rollouts: RolloutController
    usage: UsageCounter
    runs: RunBook
    dialect: Dialect
    clock: Clock
