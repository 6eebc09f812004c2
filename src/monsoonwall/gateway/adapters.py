"""Collect the adapters between a gateway and its users' platform."""

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
    """Implementations of the interfaces to the platform and its servers."""

    objects: ObjectStore
    records: RecordSource
    codec: RecordCodec
    rollouts: RolloutWriter
    dialect: Dialect
    duties: DutyCalls
    engines: EngineCalls
    ready_path: str
