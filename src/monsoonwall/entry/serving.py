"""Build the request path for each configuration."""

from dataclasses import dataclass

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.management import HostManagement
from monsoonwall.entry.policies import RequestPolicies
from monsoonwall.entry.state import RequestPipeline
from monsoonwall.entry.version_moves import MoveVersionChoice, VersionMoveTask
from monsoonwall.pipeline.dispatch import Dispatcher, Stages
from monsoonwall.pipeline.request_parsing import RequestParser
from monsoonwall.pipeline.stages import Claiming


@dataclass(frozen=True)
class PipelineDependencies:
    """Hold what outlives the single configuration."""

    host_name: str
    pool: BackendPool
    management: HostManagement
    policies: RequestPolicies
    version_moves: VersionMoveTask
    claiming: Claiming
    clock: Clock


def build_pipeline(
    configuration: Configuration, dependencies: PipelineDependencies
) -> RequestPipeline:
    """Return the request path that follows a configuration."""
    dependencies.pool.adopt(configuration)
    dependencies.policies.adopt(configuration)
    dependencies.version_moves.adopt(configuration)
    stages = Stages(
        MoveVersionChoice(configuration, dependencies.version_moves),
        dependencies.policies.routing,
        dependencies.policies.retries,
        dependencies.claiming,
        (*dependencies.policies.observers, dependencies.version_moves),
    )
    return RequestPipeline(
        configuration,
        RequestParser(configuration, dependencies.host_name),
        dependencies.management.wrap_admission(dependencies.policies.admission),
        dependencies.policies.screening,
        Dispatcher(stages, dependencies.pool, dependencies.clock),
    )
