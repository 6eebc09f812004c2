"""Order model engines over HTTP."""

from typing import Final

from msgspec import DecodeError, Struct, ValidationError, json

from monsoonwall.gateway.engines import EngineCalls, MoveResult
from monsoonwall.gateway.model import BackendServer
from monsoonwall.transport.channels import call
from monsoonwall.transport.messages import OutgoingRequest, Reply

# A copy takes milliseconds, and waits for others on the same link.
_MOVE_TIMEOUT_SECONDS: Final = 0.8
_DONE_STATUS: Final = 200


class _MoveResponse(Struct):
    handle: str | int = ''


class PlatformEngines(EngineCalls):
    """Make each call on a channel of its own."""

    async def move_run(
        self, run_id: str, source: BackendServer, target: BackendServer
    ) -> MoveResult:
        """Stop a run at its server and copy its state to another."""
        body = json.encode(
            # The run stops before the last copy is made.
            {'id': run_id, 'target': target.address, 'last_run': True}
        )
        request = OutgoingRequest(
            'POST',
            '/monsoonwall/kv-move',
            (('Content-Type', 'application/json'),),
            body,
        )
        try:
            reply = await call(source.address, request, _MOVE_TIMEOUT_SECONDS)
        except (OSError, TimeoutError) as error:
            return MoveResult(detail=repr(error))
        return _decode_result(reply)


def _decode_result(reply: Reply) -> MoveResult:
    status = reply.head.status
    try:
        moved = json.decode(reply.body or b'{}', type=_MoveResponse)
    except (DecodeError, ValidationError) as error:
        return MoveResult(detail=f'{status} {error}')
    return MoveResult(
        str(moved.handle), status == _DONE_STATUS, f'status {status}'
    )
