"""Collect the components that handle a request."""

from dataclasses import dataclass

from monsoonwall.clocks import Clock
from monsoonwall.gateway.admission import AdmissionCheck
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.loads import LoadTracker
from monsoonwall.gateway.record_bound import RecordBound
from monsoonwall.gateway.retrying import RetryPolicy
from monsoonwall.gateway.rollouts import RolloutController
from monsoonwall.gateway.runs import RunRegistry
from monsoonwall.gateway.screening import Screener
from monsoonwall.gateway.sending import Sender
from monsoonwall.gateway.server_selection import ServerSelector
from monsoonwall.gateway.usage import UsageCounter


@dataclass(frozen=True)
class RequestDependencies:
    """Components that the ``ProxyHandler`` uses for every request."""

    configuration_bound: RecordBound
    admission_check: AdmissionCheck
    screener: Screener
    server_selector: ServerSelector
    retry_policy: RetryPolicy
    sender: Sender
    loads: LoadTracker
    rollouts: RolloutController
    usage: UsageCounter
    runs: RunRegistry
    dialect: Dialect
    clock: Clock
