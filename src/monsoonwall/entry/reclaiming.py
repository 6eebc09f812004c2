"""Publish reclaim notices of the cloud, and move streams off the servers."""

import asyncio
from typing import Final

from returns.pipeline import is_successful

from monsoonwall.backends.pool import BackendPool
from monsoonwall.clocks import Clock
from monsoonwall.decisions.copies import is_reclaim_watcher
from monsoonwall.decisions.leaving import (
    LEAVING_KIND,
    LeavingServer,
    make_leaving_fact,
    read_leaving_servers,
)
from monsoonwall.entry.mesh_node import MeshNode
from monsoonwall.entry.request_replication import make_own_peer
from monsoonwall.entry.state import HostState
from monsoonwall.logs import make_logger
from monsoonwall.mesh.board import Board
from monsoonwall.mesh.peers import Peer, Peers
from monsoonwall.platform.cloud import CloudApi
from monsoonwall.platform.http_cloud import HttpCloudApi
from monsoonwall.settings import EntrySettings
from monsoonwall.streams.loops import repeat_step
from monsoonwall.streams.moves import StreamMover
from monsoonwall.transport.clients import make_client

# A call that waits for notices must not block the other calls.
_MAX_CLOUD_CALLS: Final = 10
_MAX_NOTICE_BYTES: Final = 4_000_000
_NOTICE_WAIT_SECONDS: Final = 20.0
_RETRY_SECONDS: Final = 0.5
_STEP_SECONDS: Final = 0.1
_IDLE_SECONDS: Final = 1.0

_log = make_logger('reclaiming')


class ReclaimNoticeTask:
    """Publish the cloud's reclaim notices as facts.

    Two hosts of each zone watch the cloud, so that hosts that are partitioned
    from other zones still receive the notices of their own zone.
    """

    def __init__(
        self,
        cloud: CloudApi,
        board: Board,
        peers: Peers,
        own: Peer,
        clock: Clock,
    ) -> None:
        self._cloud = cloud
        self._board = board
        self._peers = peers
        self._own = own
        self._clock = clock
        self._last_number = 0

    async def run(self) -> None:
        """Watch the cloud for notices until cancelled."""
        await repeat_step(self._watch_once, _STEP_SECONDS)

    async def _watch_once(self) -> None:
        if not is_reclaim_watcher(self._own, self._peers.list_peers()):
            await asyncio.sleep(_IDLE_SECONDS)
            return
        deadline = self._clock.read_monotonic() + _NOTICE_WAIT_SECONDS
        result = await self._cloud.wait_notices(self._last_number, deadline)
        if not is_successful(result):
            await asyncio.sleep(_RETRY_SECONDS)
            return
        for notice in result.unwrap():
            self._last_number = max(self._last_number, notice.number)
            _log.info('Reclaim announced.', server=notice.server)
            leaving = LeavingServer(notice.server, notice.deadline_wall)
            self._board.publish_fact(make_leaving_fact(leaving))


class StreamMoveTask:
    """Move streams off leaving backend servers."""

    def __init__(self, board: Board, mover: StreamMover, clock: Clock) -> None:
        self._board = board
        self._mover = mover
        self._clock = clock
        self._arrivals = board.subscribe(LEAVING_KIND)

    async def run(self) -> None:
        """Move streams until cancelled."""
        await repeat_step(self._move_once, _STEP_SECONDS)

    async def _move_once(self) -> None:
        now_wall = self._clock.read_wall()
        leaving = read_leaving_servers(self._board, now_wall)
        if leaving:
            self._mover.move(leaving)
        else:
            await self._wait_for_notice(_IDLE_SECONDS)

    async def _wait_for_notice(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._arrivals.get()
        except TimeoutError:
            return


class ReclaimTasks:
    """Own the tasks that handle leaving backend servers."""

    def __init__(
        self,
        settings: EntrySettings,
        state: HostState,
        pool: BackendPool,
        mesh: MeshNode,
        clock: Clock,
    ) -> None:
        mover = StreamMover(state.answers, pool, clock, state.find_dispatcher)
        self._stream_moves = StreamMoveTask(mesh.board, mover, clock)
        self._client = make_client(_MAX_CLOUD_CALLS, _MAX_NOTICE_BYTES)
        self._notices: ReclaimNoticeTask | None = None
        if settings.cloud_address:
            self._notices = ReclaimNoticeTask(
                HttpCloudApi(settings.cloud_address, self._client, clock),
                mesh.board,
                mesh.peers,
                make_own_peer(settings),
                clock,
            )

    async def run(self) -> None:
        """Run the tasks until cancelled.

        Without a cloud API, leaving servers are known only from facts on the
        board.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stream_moves.run())
            if self._notices is not None:
                group.create_task(self._notices.run())
