"""Put the routing stage, and plainer rules, behind one interface."""

from itertools import count

from returns.pipeline import is_successful

from benchmarks.queueing import HostPolicy, Job
from monsoonwall.clocks import ManualClock
from monsoonwall.configuration.model import Configuration
from monsoonwall.decisions.cache import CacheViews, ChangeBatch
from monsoonwall.decisions.hashing import hash_text
from monsoonwall.decisions.load import Report
from monsoonwall.decisions.routing import Weights
from monsoonwall.pipeline.admission import DemandTable, SharedAdmission
from monsoonwall.pipeline.messages import AttemptRecord, Call
from monsoonwall.pipeline.routing import CostBasedRouting
from monsoonwall.pipeline.screening import SuspectScreening
from monsoonwall.pipeline.server_view import Prompt, ServerView
from tests.mesh.local_board import LocalBoard


class RoundRobin(HostPolicy):
    """Take the servers in turn."""

    def __init__(self, configuration: Configuration, host: int) -> None:
        self._servers = list(configuration.backend_servers)
        self._turns = count(host)

    def choose(self, job: Job, now: float) -> str | None:
        return self._servers[next(self._turns) % len(self._servers)]


class LeastLoaded(HostPolicy):
    """Take the server that was last reported to run the least."""

    def __init__(self, configuration: Configuration, host: int) -> None:
        self._reports = dict.fromkeys(configuration.backend_servers, 0)

    def choose(self, job: Job, now: float) -> str | None:
        return min(
            self._reports,
            key=lambda name: (
                self._reports[name],
                hash_text(job.call.request_id + name),
            ),
        )

    def take_report(self, server: str, report: Report) -> None:
        self._reports[server] = report.in_flight


class PrefixAffinity(HostPolicy):
    """Take the server believed to hold most of the prompt."""

    def __init__(self, configuration: Configuration, host: int) -> None:
        self._servers = list(configuration.backend_servers)
        self._caches = CacheViews()
        self._caches.keep_only(self._servers)

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
        self._caches.find(server).note_dispatch(job.call.prompt.prefix)
        return server

    def take_batch(self, server: str, batch: ChangeBatch) -> None:
        self._caches.find(server).take_batch(batch)


class MadeKnowledge(ServerView):
    """Take prompts as the benchmark made them, without their text."""

    def find_prompt(self, call: Call) -> Prompt:
        """Return the prompt of a call that the benchmark made."""
        return call.prompt


class Weighed(HostPolicy):
    """Run the stages that entry hosts run."""

    def __init__(
        self,
        configuration: Configuration,
        host: int,
        weights: Weights | None = None,
        admitting: bool = False,
    ) -> None:
        clock = ManualClock(0)
        self._admitting = admitting
        self._knowledge = MadeKnowledge()
        self._knowledge.adopt(configuration)
        self._demands = DemandTable()
        self._routing = CostBasedRouting(
            self._knowledge,
            SuspectScreening(LocalBoard(f'host-{host}'), clock),
            f'zone-{host % 3}',
            weights,
        )
        self._admission = SharedAdmission(self._knowledge, self._demands)

    def choose(self, job: Job, now: float) -> str | None:
        if self._admitting and not is_successful(
            self._admission.admit(job.call, now)
        ):
            return None
        choice = self._routing.choose_server(
            job.call, 'v1', frozenset(), False, now
        ).unwrap()
        self._routing.note_dispatch(job.call, choice, now)
        return choice.server

    def note_end(self, record: AttemptRecord) -> None:
        self._routing.observe(record)
        if self._admitting:
            self._admission.observe(record)
            self._admission.release(record.call, record.ended)

    def take_report(self, server: str, report: Report) -> None:
        self._knowledge.loads.find(server).take_report(report)

    def take_batch(self, server: str, batch: ChangeBatch) -> None:
        self._knowledge.caches.find(server).take_batch(batch)

    def publish(self, now: float) -> object:
        counts = dict(self._knowledge.loads.collect_counts())
        return counts, self._demands.collect_own(now)

    def take_peer(self, origin: str, message: object, at: float) -> None:
        counts, demand = message
        for server, counted in counts.items():
            self._knowledge.loads.find(server).take_peer(origin, counted, at)
        self._demands.record_peer(origin, demand, at)
