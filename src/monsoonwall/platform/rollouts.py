"""Decode operators' orders for roll-outs and encode how far they are."""

from types import MappingProxyType
from typing import Final

from msgspec import DecodeError, Struct, ValidationError, json
from returns.result import Failure, Result, Success

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
    # The version that the service is to run.
    target: str
    duration_s: float


class _Status(Struct):
    state: str = ''
    # Another version than the order's while the order is a new one.
    target: str = ''


class _RolloutObject(Struct):
    metadata: StoreMetadata
    spec: _Spec
    status: _Status | None = None


def decode_rollout(record: Record) -> Result[Rollout, str]:
    """Return the roll-out that a record orders, or why it orders none."""
    try:
        document = json.decode(record.content or b'', type=_RolloutObject)
    except (DecodeError, ValidationError) as error:
        return Failure(str(error))
    spec = document.spec
    created = bytes(document.metadata.created).decode()
    return Success(
        Rollout(
            name=record.name,
            service=spec.service,
            version=spec.target,
            seconds=spec.duration_s,
            order=f'{order.target} {order.duration_s} {created}',
            revision=record.revision,
            state=_find_state(spec, document.status),
        )
    )


def encode_status(rollout: Rollout, state: RolloutState) -> bytes:
    """Return the body that records how far a roll-out is."""
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
