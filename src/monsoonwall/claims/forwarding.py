"""Forward write requests to the host chosen to write their journal.

Any host may write any journal; conditional updates make that safe. Sending
all write requests of a journal to one host only saves writes to the platform,
so nothing is lost if hosts choose different writers or if the chosen one does
not respond.
"""

from types import MappingProxyType
from typing import Final

from grpc import RpcError
from grpc.aio import Channel
from msgspec import json

from monsoonwall.claims.writer import BaseJournalWriter, JournalWriters
from monsoonwall.decisions.claims import (
    AnswerWish,
    ClaimWish,
    VoidWish,
    WriteRequest,
    WriteResult,
    WriteVerdict,
)
from monsoonwall.decisions.hashing import choose_by_hash
from monsoonwall.mesh.peers import Peers
from monsoonwall.mesh.wire.claims_pb2 import SubmitRequest
from monsoonwall.mesh.wire.claims_pb2_grpc import ClaimsStub

_SUBMIT_TIMEOUT_SECONDS: Final = 0.8
_REQUEST_TYPES: Final = MappingProxyType(
    {kind.__name__: kind for kind in (ClaimWish, AnswerWish, VoidWish)}
)


class WriterLocator:
    """Find the journal writer of a shard, local or remote."""

    def __init__(
        self, host_name: str, peers: Peers, local: JournalWriters
    ) -> None:
        self._host_name = host_name
        self._peers = peers
        self._local = local

    def find_writer(self, shard: int) -> BaseJournalWriter:
        """Return a shard's writer on the host that a hash of it selects."""
        names = {
            peer.name for peer in self._peers.list_peers() if not peer.leaving
        }
        chosen = choose_by_hash(str(shard), names | {self._host_name})
        local = self._local.find_writer(shard)
        channel = self._peers.find_channel(chosen)
        if chosen == self._host_name or channel is None:
            return local
        return _RemoteWriter(channel, local)


class _RemoteWriter(BaseJournalWriter):
    def __init__(self, channel: Channel, local: BaseJournalWriter) -> None:
        self._channel = channel
        self._local = local

    async def submit(self, write_request: WriteRequest) -> WriteResult:
        """Return the result of a write request, written locally on failure.

        If the other host wrote the request but its response was lost, the
        request's token is found in the journal, so the second write is safe.
        """
        request = SubmitRequest(
            kind=type(write_request).__name__,
            wish=json.encode(write_request),
        )
        try:
            reply = await ClaimsStub(self._channel).Submit(
                request, timeout=_SUBMIT_TIMEOUT_SECONDS
            )
        except RpcError:
            return await self._local.submit(write_request)
        outcome = json.decode(reply.result, type=WriteResult)
        if outcome.verdict is WriteVerdict.unavailable:
            # This host may reach the platform even if the other one cannot.
            return await self._local.submit(write_request)
        return outcome


def decode_write_request(kind: str, encoded: bytes) -> WriteRequest:
    """Decode a write request that another host sent."""
    return json.decode(encoded, type=_REQUEST_TYPES[kind])
