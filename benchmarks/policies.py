"""Routing policies to compare: the routing stage and simple baselines."""

from itertools import count

from returns.pipeline import is_successful

from benchmarks.queueing import HostPolicy, Job
from monsoonwall.clocks import ManualClock
from monsoonwall.configuration.model import Configuration
from monsoonwall.decisions.cache import CacheViews, ChangeBatch
from monsoonwall.decisions.hashing import hash_text
from monsoonwall.decisions.load import ServerReport
from monsoonwall.decisions.routing import CostWeights
from monsoonwall.pipeline.admission import DemandTable, SharedAdmission
from monsoonwall.pipeline.messages import AttemptRecord, Call
from monsoonwall.pipeline.routing import CostBasedRouting
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.server_view import Prompt, ServerView
from tests.mesh.local_board import LocalBoard


class RoundRobin(HostPolicy):
    """Choose the servers in turn."""

    def __init__(self, configuration: Configuration, host: int) -> None:
        self._servers = list(configuration.backend_servers)
        self._turns = count(host)

    def choose(self, job: Job, now: float) -> str | None:
        return self._servers[next(self._turns) % len(self._servers)]


class LeastLoaded(HostPolicy):
    """Choose the server with the fewest requests in its last report."""

    def __init__(self, configuration: Configuration, host: int) -> None:
        self._in_flight = dict.fromkeys(configuration.backend_servers, 0)

    def choose(self, job: Job, now: float) -> str | None:
        return min(
            self._in_flight,
            key=lambda name: (
                self._in_flight[name],
                hash_text(job.call.request_id + name),
            ),
        )

    def receive_report(self, server: str, report: ServerReport) -> None:
        self._in_flight[server] = report.in_flight


class PrefixAffinity(HostPolicy):
    """Choose the server estimated to have most of the prompt cached."""

    def __init__(self, configuration: Configuration, host: int) -> None:
        self._servers = list(configuration.backend_servers)
        self._caches = CacheViews()
        self._caches.retain(self._servers)

    def choose(self, job: Job, now: float) -> str | None:
        server = max(
            self._servers,
            key=lambda name: (
                self._caches.find(name).count_cached_words(
                    job.call.prompt.prefix
                ),
                hash_text(job.keys[-1] + name),
            ),
        )
        self._caches.find(server).add_prompt(job.call.prompt.prefix)
        return server

    def receive_batch(self, server: str, batch: ChangeBatch) -> None:
        self._caches.find(server).apply_batch(batch)


class SyntheticPromptView(ServerView):
    """Use the generated prompts, which have prefix keys but no text."""

    def find_prompt(self, call: Call) -> Prompt:
        """Return the generated prompt that the call contains."""
        return call.prompt


class CostBasedPolicy(HostPolicy):
    """Run the routing stage of entry hosts, with or without admission."""

    def __init__(
        self,
        configuration: Configuration,
        host: int,
        weights: CostWeights | None = None,
        enforce_limits: bool = False,
    ) -> None:
        clock = ManualClock(0)
        self._enforce_limits = enforce_limits
        self._server_view = SyntheticPromptView()
        self._server_view.adopt(configuration)
        self._demands = DemandTable()
        self._routing = CostBasedRouting(
            self._server_view,
            SuspectScreening(LocalBoard(f'host-{host}'), clock),
            f'zone-{host % 3}',
            weights,
        )
        self._admission = SharedAdmission(self._server_view, self._demands)

    def choose(self, job: Job, now: float) -> str | None:
        if self._enforce_limits and not is_successful(
            self._admission.admit(job.call, now)
        ):
            return None
        choice = self._routing.choose_server(
            job.call, 'v1', frozenset(), False, now
        ).unwrap()
        self._routing.record_dispatch(job.call, choice, now)
        return choice.server

    def record_end(self, record: AttemptRecord) -> None:
        self._routing.observe(record)
        if self._enforce_limits:
            self._admission.observe(record)
            self._admission.release(record.call, record.ended)

    def receive_report(self, server: str, report: ServerReport) -> None:
        self._server_view.loads.find(server).record_report(report)

    def receive_batch(self, server: str, batch: ChangeBatch) -> None:
        self._server_view.caches.find(server).apply_batch(batch)

    def publish(self, now: float) -> object:
        counts = dict(self._server_view.loads.collect_counts())
        return counts, self._demands.collect_own(now)

    def receive_peer_message(
        self, origin: str, message: object, published: float
    ) -> None:
        counts, demand = message
        for server, counted in counts.items():
            self._server_view.loads.find(server).record_peer_counts(
                origin, counted, published
            )
        self._demands.record_peer(origin, demand, published)
