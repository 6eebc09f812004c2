"""HTTP client that moves runs between model engines."""

from http import HTTPStatus
from typing import Final

from msgspec import Struct, json

from monsoonwall.decoding import DECODE_ERRORS
from monsoonwall.gateway.engines import EngineCalls, MoveResult
from monsoonwall.gateway.model import BackendServer
from monsoonwall.gateway.server_connections import ServerConnector
from monsoonwall.transport.channels import call_once
from monsoonwall.transport.messages import OutgoingRequest, Reply

# A copy takes milliseconds, but may wait for other copies on the same link.
_MOVE_TIMEOUT_SECONDS: Final = 0.8


class _MoveResponse(Struct):
    handle: str | int = ''


class PlatformEngines(EngineCalls):
    """Move runs between engines, with a new channel for each call."""

    async def move_run(
        self,
        run_id: str,
        source: BackendServer,
        target: BackendServer,
        connector: ServerConnector,
    ) -> MoveResult:
        """Stop a run at the source and copy its state to the target."""
        body = json.encode(
            # ``last_run`` makes the source stop the run before it copies the
            # last state.
            {'id': run_id, 'target': target.address, 'last_run': True}
        )
        request = OutgoingRequest(
            'POST',
            '/monsoonwall/kv-move',
            (('Content-Type', 'application/json'),),
            body,
        )
        try:
            channel = await connector.open(source, _MOVE_TIMEOUT_SECONDS)
            reply = await call_once(channel, request, _MOVE_TIMEOUT_SECONDS)
        except (OSError, TimeoutError) as error:
            return MoveResult(detail=repr(error))
        return _decode_result(reply)


def _decode_result(reply: Reply) -> MoveResult:
    status = reply.head.status
    try:
        response = json.decode(reply.body or b'{}', type=_MoveResponse)
    except DECODE_ERRORS as error:
        return MoveResult(detail=f'{status} {error}')
    return MoveResult(
        str(response.handle),
        status == HTTPStatus.OK,
        f'status {status}',
        may_have_stopped=status != HTTPStatus.NOT_FOUND,
    )
