"""Build the stages of an entry host without its sockets."""

from monsoonwall.clocks import ManualClock
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    Route,
    Service,
    ServiceKind,
    Version,
    Workspace,
)
from monsoonwall.pipeline.messages import (
    AttemptEnding,
    AttemptRecord,
    Call,
    Priority,
)
from monsoonwall.pipeline.routing import CostBasedRouting
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.server_view import ServerView
from tests.mesh.local_board import LocalBoard

SERVERS = tuple(f'engine-{number}' for number in range(4))
LIMIT_PER_SECOND = 30


def make_configuration():
    """Return one model service with four servers and a small workspace."""
    return Configuration(
        1,
        {'assistant': Service(ServiceKind.model, {'v1': Version()}, 'v1')},
        {'hotline': Route('assistant')},
        {'depot': Workspace('', 1, LIMIT_PER_SECOND, 1_000_000)},
        {
            name: BackendServer('assistant', 'v1', 'zone-a', '')
            for name in SERVERS
        },
    )


def make_call(number, prompt='', idempotent=True, deadline=10_000):
    """Return a call; equal prompts have equal content."""
    return Call(
        request_id=f'request-{number}',
        workspace='depot',
        route='hotline',
        service='assistant',
        priority=Priority.interactive,
        idempotent=idempotent,
        idempotency_key=None,
        deadline=deadline,
        content_key=f'content-{prompt}',
        prompt=prompt,
        max_tokens=5,
    )


def make_record(call, choice, now, ending=AttemptEnding.completed):
    """Return the record of an attempt that took a second."""
    return AttemptRecord(
        call, 1, choice, now - 1, now - 0.5, now, 5, 5, 0, ending
    )


class Host:
    """Hold the stages of one host and a clock that tests move."""

    def __init__(self):
        self.clock = ManualClock(10_000)
        self.server_view = ServerView()
        self.server_view.adopt(make_configuration())
        self.screening = SuspectScreening(LocalBoard('entry-0'), self.clock)
        self.routing = CostBasedRouting(
            self.server_view, self.screening, 'zone-a'
        )

    @property
    def now(self):
        return self.clock.read_monotonic()
