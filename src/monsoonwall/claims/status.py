"""Query claiming hosts for the state of claims, and serve such queries.

The service also accepts journal writes that other hosts forward.
"""

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

_QUERY_TIMEOUT_SECONDS: Final = 0.5


class ClaimState(StrEnum):
    """Name the states of a claim that its claiming host reports.

    ``abandoned`` guarantees that the call was not and will not be dispatched.
    """

    unknown = 'unknown'
    running = 'running'
    answered = 'answered'
    abandoned = 'abandoned'


@dataclass(frozen=True)
class ClaimReport:
    """Hold the state of a claim, and the reply if the call was answered."""

    state: ClaimState
    reply: ServiceReply | None = None


UNKNOWN_CLAIM: Final = ClaimReport(ClaimState.unknown)


class ClaimRegistry(ABC):
    """Look up the claims that this host made."""

    @abstractmethod
    def get_claim_report(self, token: str) -> ClaimReport:
        """Return the state of this host's claim, ``unknown`` if not found."""


class ClaimStatusClient(ABC):
    """Query claiming hosts for the state of their claims."""

    @abstractmethod
    async def query_status(self, token: str) -> ClaimReport:
        """Return the claiming host's report, ``unknown`` if unavailable."""


class PeerClaimStatusClient(ClaimStatusClient):
    """Query the host that a claim's token names, over the mesh."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def query_status(self, token: str) -> ClaimReport:
        """Return the claiming host's report, ``unknown`` if unavailable."""
        channel = self._peers.find_channel(get_claiming_host(token))
        if channel is None:
            return UNKNOWN_CLAIM
        try:
            reply = await ClaimsStub(channel).Ask(
                AskRequest(token=token), timeout=_QUERY_TIMEOUT_SECONDS
            )
        except RpcError:
            return UNKNOWN_CLAIM
        return _read_reply(reply)


class ClaimsService(ClaimsServicer):
    """Serve claim states and journal writes to the other hosts."""

    def __init__(
        self, registry: ClaimRegistry, writers: JournalWriters
    ) -> None:
        self._registry = registry
        self._writers = writers

    async def Ask(
        self, request: AskRequest, context: ServicerContext
    ) -> AskReply:
        """Return the state of a claim that this host made."""
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
        """Write a request of another host to the journal of its key."""
        write_request = decode_write_request(request.kind, request.wish)
        writer = self._writers.find_writer(choose_shard(write_request.key))
        return SubmitReply(
            result=json.encode(await writer.submit(write_request))
        )

    def register(self, server: Server) -> None:
        """Add this service to the mesh's gRPC server."""
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
