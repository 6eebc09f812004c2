"""Hand wishes to the host that writes their journal.

Any host may write any journal, which the conditional update keeps safe. That
all hand a journal's wishes to one of them only saves the platform writes, so
nothing is lost when hosts disagree on which it is, or when it does not answer.
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
    Verdict,
    VoidWish,
    Wish,
    WishResult,
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
    """Find who takes the wishes of a shard."""

    def __init__(
        self, host_name: str, peers: Peers, local: JournalWriters
    ) -> None:
        self._host_name = host_name
        self._peers = peers
        self._local = local

    def find_writer(self, shard: int) -> BaseJournalWriter:
        """Return the shard's writer, here or on the host chosen for it."""
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

    async def submit(self, write_request: Wish) -> WishResult:
        """Return what became of a wish, written here if need be.

        A wish that the other host wrote without saying so is found in the
        journal by its token, so writing it again does no harm.
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
        outcome = json.decode(reply.result, type=WishResult)
        if outcome.verdict is Verdict.unavailable:
            # The other host may be cut off where this one is not.
            return await self._local.submit(write_request)
        return outcome


def decode_write_request(kind: str, encoded: bytes) -> Wish:
    """Return the wish that another host sent."""
    return json.decode(encoded, type=_REQUEST_TYPES[kind])
