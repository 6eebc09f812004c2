"""Ask the host that made a claim what became of it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from grpc import RpcError
from grpc.aio import Server, ServicerContext
from msgspec import json

from monsoonwall.claims.forwarding import decode_write_request
from monsoonwall.claims.writer import JournalWriters
from monsoonwall.decisions.claims import choose_shard
from monsoonwall.mesh.peers import Peers
from monsoonwall.mesh.wire.claims_pb2 import (
    AskReply,
    AskRequest,
    SubmitReply,
    SubmitRequest,
)
from monsoonwall.mesh.wire.claims_pb2_grpc import (
    ClaimsServicer,
    ClaimsStub,
    add_ClaimsServicer_to_server,
)
from monsoonwall.pipeline.messages import ServiceReply

_ASK_TIMEOUT_SECONDS: Final = 0.5


class ClaimState(StrEnum):
    """Name what a claim's maker knows of it.

    ``abandoned`` promises that the call was not and will not be dispatched.
    """

    unknown = 'unknown'
    running = 'running'
    answered = 'answered'
    abandoned = 'abandoned'


@dataclass(frozen=True)
class ClaimReport:
    """Hold a maker's word on a claim."""

    state: ClaimState
    reply: ServiceReply | None = None


UNKNOWN_CLAIM: Final = ClaimReport(ClaimState.unknown)


class ClaimRegistry(ABC):
    """Know the claims that this host made."""

    @abstractmethod
    def get_claim_report(self, token: str) -> ClaimReport:
        """Return what became of a claim made here."""


class ClaimStatusClient(ABC):
    """Reach the makers of claims."""

    @abstractmethod
    async def query_status(self, token: str) -> ClaimReport:
        """Return the maker's word, ``unknown`` if it cannot be had."""


class PeerClaimStatusClient(ClaimStatusClient):
    """Ask over the mesh; a token begins with its maker's host name."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def query_status(self, token: str) -> ClaimReport:
        """Return the maker's word, ``unknown`` if it cannot be had."""
        channel = self._peers.find_channel(get_claiming_host(token))
        if channel is None:
            return UNKNOWN_CLAIM
        try:
            reply = await ClaimsStub(channel).Ask(
                AskRequest(token=token), timeout=_ASK_TIMEOUT_SECONDS
            )
        except RpcError:
            return UNKNOWN_CLAIM
        return _read_reply(reply)


class ClaimsService(ClaimsServicer):
    """Answer the other hosts from this host's memory."""

    def __init__(
        self, registry: ClaimRegistry, writers: JournalWriters
    ) -> None:
        self._registry = registry
        self._writers = writers

    async def Ask(
        self, request: AskRequest, context: ServicerContext
    ) -> AskReply:
        """Return what became of the claim."""
        report = self._registry.get_claim_report(request.token)
        reply = AskReply(state=AskReply.State.Value(report.state.name.upper()))
        if report.reply is not None:
            reply.status = report.reply.status
            reply.content_type = report.reply.content_type
            reply.body = report.reply.body
        return reply

    async def Submit(
        self, request: SubmitRequest, context: ServicerContext
    ) -> SubmitReply:
        """Write a wish of another host to its journal."""
        write_request = decode_write_request(request.kind, request.wish)
        writer = self._writers.find_writer(choose_shard(write_request.key))
        return SubmitReply(
            result=json.encode(await writer.submit(write_request))
        )

    def register(self, server: Server) -> None:
        """Add this service to the mesh server."""
        add_ClaimsServicer_to_server(self, server)


def get_claiming_host(token: str) -> str:
    """Return the name of the host that made a claim."""
    return token.rpartition('.')[0]


def _read_reply(reply: AskReply) -> ClaimReport:
    state = ClaimState(AskReply.State.Name(reply.state).lower())
    if state is not ClaimState.answered:
        return ClaimReport(state)
    return ClaimReport(
        state, ServiceReply(reply.status, reply.content_type, reply.body)
    )
