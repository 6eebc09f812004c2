"""Hold how a gateway speaks with all that is not a gateway."""

from dataclasses import dataclass

from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.duties import DutyCalls
from monsoonwall.gateway.engines import EngineCalls
from monsoonwall.gateway.records import (
    RecordCodec,
    RecordSource,
    RolloutWriter,
)
from monsoonwall.platform.objects import ObjectStore


@dataclass(frozen=True)
class GatewayAdapters:
    """Hold the adapters of one gateway."""

    objects: ObjectStore
    records: RecordSource
    codec: RecordCodec
    rollouts: RolloutWriter
    dialect: Dialect
    duties: DutyCalls
    engines: EngineCalls
    ready_path: str
