"""Build the request path for each configuration."""

from dataclasses import dataclass

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.configuration.model import Configuration
from monsoonwall.entry.controls import RequestControls
from monsoonwall.entry.moving import MovingTask, MovingVersionChoice
from monsoonwall.entry.operating import Operating
from monsoonwall.entry.state import Serving
from monsoonwall.pipeline.dispatch import Dispatcher, Stages
from monsoonwall.pipeline.request_parsing import RequestParser
from monsoonwall.pipeline.stages import Claiming


@dataclass(frozen=True)
class ServingParts:
    """Hold what outlives the single configuration."""

    host_name: str
    pool: BackendPool
    operating: Operating
    controls: RequestControls
    moving: MovingTask
    claiming: Claiming
    clock: Clock


def build_serving(configuration: Configuration, parts: ServingParts) -> Serving:
    """Return the request path that follows a configuration."""
    parts.pool.adopt(configuration)
    parts.controls.adopt(configuration)
    parts.moving.adopt(configuration)
    stages = Stages(
        MovingVersionChoice(configuration, parts.moving),
        parts.controls.routing,
        parts.controls.retries,
        parts.claiming,
        (*parts.controls.observers, parts.moving),
    )
    return Serving(
        configuration,
        RequestParser(configuration, parts.host_name),
        parts.operating.guard(parts.controls.admission),
        parts.controls.screening,
        Dispatcher(stages, parts.pool, parts.clock),
    )
