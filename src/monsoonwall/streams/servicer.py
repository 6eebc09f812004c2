"""Serve other entry hosts: store request copies and stream answers."""

from collections.abc import AsyncIterator
from typing import Any

from monsoonwall.mesh.wire.answers_pb2 import (
    HELD,
    OWNED,
    UNKNOWN,
    AnswerPart,
    Batch,
    BatchReply,
    FollowRequest,
    Progress,
)
from monsoonwall.mesh.wire.answers_pb2_grpc import (
    AnswersServicer,
    add_AnswersServicer_to_server,
)
from monsoonwall.metrics import MESH_BYTES, MESH_MESSAGES
from monsoonwall.pipeline.answers import Answer, ReadPosition
from monsoonwall.streams.codec import encode_part
from monsoonwall.streams.copy_store import CopyStore
from monsoonwall.streams.runner import AnswerRunner


class AnswersService(AnswersServicer):
    """Implement the gRPC service that other entry hosts call."""

    def __init__(self, runner: AnswerRunner, copy_store: CopyStore) -> None:
        self._runner = runner
        self._copy_store = copy_store

    def register(self, server: Any) -> None:
        """Add this service to the mesh's gRPC server."""
        add_AnswersServicer_to_server(self, server)

    async def Replicate(self, request: Batch, context: Any) -> BatchReply:
        """Store request copies and apply the progress of their answers.

        The reply lists the requests whose whole copy is needed again, and
        those that this host has taken over from the sender.
        """
        MESH_BYTES.labels('received').inc(request.ByteSize())
        MESH_MESSAGES.labels('received', 'copies').inc()
        reply = BatchReply()
        taken_over = {
            copy.request_id
            for copy in request.copies
            if self._runs_later_takeover(copy.request_id, copy.takeovers)
        }
        for copy in request.copies:
            if copy.request_id not in taken_over:
                self._copy_store.add(request.owner, copy)
        for progress in request.progress:
            if self._runs_later_takeover(
                progress.request_id, progress.takeovers
            ):
                taken_over.add(progress.request_id)
            elif not self._apply_progress(progress):
                reply.unknown.append(progress.request_id)
        reply.taken_over.extend(sorted(taken_over))
        return reply

    async def Follow(
        self, request: FollowRequest, context: Any
    ) -> AsyncIterator[AnswerPart]:
        """Stream an answer from an offset.

        The first message states whether this host owns the answer, holds a
        copy of its request, or has neither.
        """
        answer = self._find_answer(request)
        if answer is None:
            held = self._copy_store.find(request.request_id) is not None
            yield AnswerPart(standing=HELD if held else UNKNOWN)
            return
        call = answer.call
        yield AnswerPart(
            standing=OWNED,
            route=call.route,
            service=call.service,
            chat=call.chat,
        )
        async for piece in answer.follow(
            ReadPosition(request.offset, request.digest)
        ):
            yield encode_part(piece)

    def _find_answer(self, request: FollowRequest) -> Answer | None:
        answer = self._runner.find_answer(request.request_id)
        if answer is None and request.take_over:
            return self._runner.take_over(request.request_id, 'owner_gone')
        return answer

    def _runs_later_takeover(self, request_id: str, takeovers: int) -> bool:
        # ``takeovers`` is lower if it comes from an owner that kept running
        # the request after a takeover, or from an earlier run on this host.
        answer = self._runner.find_answer(request_id)
        return answer is not None and answer.takeovers > takeovers

    def _apply_progress(self, progress: Progress) -> bool:
        handed_over = progress.handed_over
        accepted = self._copy_store.apply_progress(progress)
        if accepted and handed_over:
            self._runner.take_over(progress.request_id, 'handed_over')
        return accepted
