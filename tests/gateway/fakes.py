"""Fakes for the interfaces of the gateway."""

from asyncio import Queue

from returns.result import Failure, Success

from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.duties import DutyCalls, DutyEnding
from monsoonwall.gateway.records import RecordReader
from monsoonwall.mesh.board import Board, Entry, Fact
from monsoonwall.mesh.peers import Peers
from monsoonwall.mesh.watermarks import WatermarkTable
from monsoonwall.platform.objects import (
    ObjectStore,
    StoredObject,
    StoreFailure,
)


class FakeBoard(Board):
    """Share entries between the hosts of a test without delay."""

    def __init__(self, name, shared=None):
        self.name = name
        self.entries = {} if shared is None else shared
        self.facts = {}
        self.queues = {}
        self.watermarks = WatermarkTable()
        self.acknowledges = True

    def publish_entry(self, kind, key, payload):
        self.entries[kind, self.name, key] = Entry(
            self.name, kind, key, payload
        )

    def publish_fact(self, fact):
        self.facts[fact.kind, fact.key] = fact

    async def replicate_fact(self, fact, deadline):
        self.publish_fact(fact)
        return self.acknowledges

    def read_entries(self, kind):
        return tuple(
            entry
            for (entry_kind, *_), entry in self.entries.items()
            if entry_kind == kind
        )

    def read_facts(self, kind):
        return tuple(fact for fact in self.facts.values() if fact.kind == kind)

    def advance_watermark(self, watermark):
        self.watermarks.advance(watermark)

    def find_watermark(self, key):
        return self.watermarks.find(key)

    def subscribe(self, kind) -> 'Queue[Entry | Fact]':
        return self.queues.setdefault(kind, Queue())


class FakeReader(RecordReader):
    """Call a function instead of reading the store."""

    def __init__(self):
        self.refreshes = 0

    async def read(self):
        """Do nothing; tests replace this."""

    async def refresh(self):
        self.refreshes += 1
        await self.read()


class NoPeers(Peers):
    """A mesh without other hosts."""

    def list_peers(self):
        return ()

    def find_channel(self, name):
        """Return None, since there are no other hosts."""


class MemoryStore(ObjectStore):
    """Hold objects in memory; each of ``failures`` fails one call.

    A write that fails as ``lost`` takes effect nevertheless.
    """

    def __init__(self):
        self.objects = {}
        self.failures = []
        self.version = 0

    async def read(self, key, reason):
        if self.failures:
            return Failure(self.failures.pop(0))
        found = self.objects.get(key)
        return Success(found) if found else Failure(StoreFailure.missing)

    async def list_objects(self, prefix, reason):
        return Success(())

    async def create(self, key, content, reason):
        return self._write(key, content, None)

    async def update(self, key, content, version, reason):
        return self._write(key, content, version)

    async def delete(self, key, version, reason):
        return Failure(StoreFailure.missing)

    async def watch(self, key, after, deadline, reason):
        return Failure(StoreFailure.missing)

    def _write(self, key, content, version):
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None and failure is not StoreFailure.lost:
            return Failure(failure)
        known = self.objects.get(key)
        if (known.version if known else None) != version:
            return Failure(StoreFailure.conflict)
        self.version += 1
        self.objects[key] = StoredObject(key, self.version, content)
        return Failure(failure) if failure else Success(self.objects[key])


class RecordingDuties(DutyCalls):
    """Record the calls; return ``endings`` in turn, then ``done``."""

    def __init__(self):
        self.reports = []
        self.orders = []
        self.endings = []

    async def report_usage(self, holder, report):
        self.reports.append((holder, report))
        return self._end()

    async def order_servers(self, holder, order):
        self.orders.append(order)
        return self._end()

    def _end(self):
        return self.endings.pop(0) if self.endings else DutyEnding.done


class RecordingCaller(Caller):
    """Record the response that a caller receives."""

    def __init__(self):
        self.status = None
        self.headers = None
        self.body = b''
        self.ending = None

    @property
    def started(self):
        return self.status is not None

    def start(self, status, headers):
        self.status = status
        self.headers = headers

    def write(self, content):
        self.body += content

    async def drain(self):
        """Return at once, since the caller reads everything."""

    def finish(self):
        self.ending = 'finished'

    def abort(self):
        self.ending = 'cut'
