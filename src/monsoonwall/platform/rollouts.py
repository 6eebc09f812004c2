"""Decode operators' orders for roll-outs and encode their state."""

from types import MappingProxyType
from typing import Final

from msgspec import Struct, json
from returns.result import Failure, Result, Success

from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.gateway.model import Rollout, RolloutState
from monsoonwall.gateway.records import Record
from monsoonwall.platform.store_messages import StoreMetadata

_STATES: Final = MappingProxyType(
    {
        RolloutState.under_way: 'in_progress',
        RolloutState.done: 'completed',
        RolloutState.withdrawn: 'rolled_back',
    }
)
_STATES_BY_NAME: Final = MappingProxyType(
    {state_name: state for state, state_name in _STATES.items()}
)


class _Spec(Struct):
    service: str
    # Version that the service should run.
    target: str
    duration_s: float


class _Status(Struct):
    state: str = ''
    # Version to which ``state`` refers. It differs from the version in the spec
    # until a state has been written for a new order.
    target: str = ''


class _RolloutObject(Struct):
    metadata: StoreMetadata
    spec: _Spec
    status: _Status | None = None


def decode_rollout(record: Record) -> Result[Rollout, str]:
    """Decode the order of a roll-out, or return the decoding error."""
    try:
        document = json.decode(record.content or b'', type=_RolloutObject)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    spec = document.spec
    created = bytes(document.metadata.created).decode(errors='replace')
    return Success(
        Rollout(
            name=record.name,
            service=spec.service,
            version=spec.target,
            seconds=spec.duration_s,
            order=f'{spec.target} {spec.duration_s} {created}',
            revision=record.revision,
            state=_find_state(spec, document.status),
            era=record.era,
        )
    )


def encode_status(rollout: Rollout, state: RolloutState) -> bytes:
    """Return the request body that writes the state of a roll-out."""
    return json.encode(
        {
            'metadata': {'name': rollout.name, 'revision': rollout.revision},
            'status': {'state': _STATES[state], 'target': rollout.version},
        }
    )


def _find_state(spec: _Spec, status: _Status | None) -> RolloutState | None:
    if status is None or status.target != spec.target:
        return None
    return _STATES_BY_NAME.get(status.state)
