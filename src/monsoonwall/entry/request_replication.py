"""Replicate requests so that they survive the loss of entry hosts."""

import asyncio
from typing import Any, Final

from monsoonwall.clocks import Clock
from monsoonwall.entry.requests import RequestTasks
from monsoonwall.entry.state import HostState
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.metrics import ABANDONED_REQUESTS
from monsoonwall.pipeline.answers import (
    Answer,
    AnswerTable,
    Interruption,
    InterruptionKind,
)
from monsoonwall.pipeline.messages import AttemptEnding, AttemptFailure
from monsoonwall.settings import EntrySettings
from monsoonwall.streams.copy_store import CopyStore
from monsoonwall.streams.finding import AnswerFinder
from monsoonwall.streams.loops import repeat_step
from monsoonwall.streams.replication import Replicator
from monsoonwall.streams.servicer import AnswersService

# Generation pauses after an answer has had no reader for this long, for example
# because the connection broke. It resumes if the caller reconnects before the
# answer is dropped.
UNREAD_PAUSE_SECONDS: Final = 30.0
UNREAD_DROP_SECONDS: Final = 60.0
_STEP_SECONDS: Final = 1.0
_UNREAD_FAILURE: Final = AttemptFailure(
    AttemptEnding.cancelled, 'no caller follows the answer', True
)


class AnswerCleanupTask:
    """Pause and drop unread answers, and drop expired copies."""

    def __init__(
        self,
        answers: AnswerTable,
        copies: CopyStore,
        replicator: Replicator,
        clock: Clock,
    ) -> None:
        self._answers = answers
        self._copies = copies
        self._replicator = replicator
        self._clock = clock
        self._unread_since: dict[str, float] = {}

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        await repeat_step(self.sweep, _STEP_SECONDS)

    async def sweep(self) -> None:
        """Drop expired copies; pause or drop answers unread for too long."""
        now = self._clock.read_monotonic()
        self._copies.drop_expired()
        previously_unread = self._unread_since
        self._unread_since = {
            answer.call.request_id: previously_unread.get(
                answer.call.request_id, now
            )
            for answer in self._answers.list_answers()
            if not answer.readers
        }
        for request_id, since in list(self._unread_since.items()):
            answer = self._answers.find(request_id)
            if answer is not None:
                self._pause_or_drop(answer, now - since)

    def _pause_or_drop(self, answer: Answer, unread_seconds: float) -> None:
        if answer.running_attempt is not None:
            if unread_seconds >= UNREAD_PAUSE_SECONDS:
                ABANDONED_REQUESTS.inc()
                answer.running_attempt.interrupt(
                    Interruption(InterruptionKind.abandoned, _UNREAD_FAILURE)
                )
        elif not answer.active and unread_seconds >= UNREAD_DROP_SECONDS:
            self._answers.remove(answer.call.request_id)
            self._replicator.untrack(answer.call.request_id)


def make_own_peer(settings: EntrySettings) -> Peer:
    """Return this host as a peer, without its real incarnation."""
    return Peer(
        settings.host_name,
        settings.zone,
        settings.region,
        settings.mesh_address,
        incarnation=0,
    )


class RequestReplication:
    """Own the copies held for peers, the replicator and the request tasks."""

    def __init__(
        self, state: HostState, clock: Clock, own: Peer, peers: Peers
    ) -> None:
        copies = CopyStore(clock)
        self._replicator = Replicator(own, peers, clock)
        self._cleanup = AnswerCleanupTask(
            state.answers, copies, self._replicator, clock
        )
        self.tasks = RequestTasks(state, clock, self._replicator, copies)
        self.finder = AnswerFinder(own.name, peers, self.tasks)
        self._service = AnswersService(self.tasks, copies)

    def register(self, server: Any) -> None:
        """Add the service for other entry hosts to the mesh server."""
        self._service.register(server)

    async def run(self) -> None:
        """Replicate requests and clean up until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._replicator.run())
            group.create_task(self._cleanup.run())
