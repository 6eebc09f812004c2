"""Stand-ins for the store, the platform's API, servers and clients.

They follow the users' pages, need only the standard library, and run in one
event loop. The gateways run as separate processes.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from copy import deepcopy
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'desk.example'
COPY_INTERVAL_SECONDS = 0.25
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "north"
port_range = [{spare}, {spare}]
seed_addrs = [{seeds}]
bootstrap = {bootstrap}
[zones]
zone-a = "north"
zone-b = "north"
zone-c = "north"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
retry_ratio = 0.2
budget_window_s = 10
retry_slack = 54
quota_window_s = 8
quota_overage = 0.1
quota_slack = 140000
require_fence = true
lease_ms = 3000
usage_window_s = 5
usage_late_s = 10
exposure_share = 0.1
exposure_slack = 50
recover_s = 12
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
[cloud]
address = "127.0.0.1:{cloud}"
rate_per_s = 50.0
duties = ["usage_report"]
duty_per_s = 50.0
"""


def find_free_port():
    """Return a loopback port that is not in use."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def make_head(status, headers):
    """Return the bytes of a response head."""
    lines = [f'HTTP/1.1 {status} Any']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def read_request(reader):
    """Return method, target, headers (names in lower case) and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    first, *lines = head.split('\r\n')[:-2]
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return method, target, headers, body


class RawJson(str):
    """Encoded JSON that the store keeps as it is."""

    __slots__ = ()


def encode_json(content):
    """Encode content in which objects may have a ``RawJson`` as spec."""
    raw_specs = {}

    def replace_raw(found):
        if isinstance(found, RawJson):
            key = f'raw-{len(raw_specs)}-{secrets.token_hex(8)}'
            raw_specs[key] = found
            return key
        if isinstance(found, dict):
            return {name: replace_raw(part) for name, part in found.items()}
        if isinstance(found, list):
            return [replace_raw(part) for part in found]
        return found

    text = json.dumps(replace_raw(content))
    for key, raw in raw_specs.items():
        text = text.replace(f'"{key}"', raw)
    return text.encode()


class HttpServer:
    """Serve HTTP/1.1 on a free loopback port."""

    def __init__(self):
        self.port = find_free_port()
        self.address = f'127.0.0.1:{self.port}'
        self._server = None

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    async def respond(self, writer, method, target, headers, body):
        """Write the response to a request; return whether to go on."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        with suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while await self.respond(writer, *await read_request(reader)):
                await writer.drain()
        writer.close()


class _HeldWriter:
    """Hold what is written."""

    def __init__(self):
        self.content = b''

    def write(self, content):
        """Add bytes."""
        self.content += content


class Store(HttpServer):
    """Keep objects with revisions; may return from an older copy."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.era = 1
        self.away = False
        self.objects = {}
        self.events = []
        self.compacted = 0
        self.changed = asyncio.Event()
        self.copies = []
        # Names of the hosts that the store turns away.
        self._silent_hosts = set()
        self._hears_all = asyncio.Event()
        # When each host last began to watch each kind, and when objects of
        # each kind last changed (monotonic seconds).
        self.watches = {}
        self.changes = {}
        self._listeners = []

    async def listen_for(self, host):
        """Listen on a port of its own for one host; return the port."""

        async def serve(reader, writer):
            with suppress(
                ConnectionError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                await self._serve_host(host, reader, writer)
            writer.close()

        port = find_free_port()
        self._listeners.append(
            await asyncio.start_server(serve, '127.0.0.1', port)
        )
        return port

    def turn_away(self, hosts):
        """Answer no calls of some hosts, until ``hear_all``."""
        self._silent_hosts = set(hosts)
        self._hears_all.clear()

    def hear_all(self):
        """Answer the calls of all hosts."""
        self._silent_hosts = set()
        self._hears_all.set()

    async def _wait_while_silent(self, host):
        if host in self._silent_hosts:
            await self._hears_all.wait()

    async def _serve_host(self, host, reader, writer):
        while True:
            method, target, headers, body = await read_request(reader)
            kind, _, query = target.rpartition('/')[2].partition('?')
            if query.startswith('watch='):
                self.watches[host, kind] = time.monotonic()
            # A host that is turned away gets no answer, also to calls that
            # wait already.
            await self._wait_while_silent(host)
            held = _HeldWriter()
            going_on = await self.respond(held, method, target, headers, body)
            await self._wait_while_silent(host)
            writer.write(held.content)
            await writer.drain()
            if not going_on:
                return

    def put(self, kind, name, spec=None, status=None, keep=()):
        """Write an object as the operator or a server does."""
        self.revision += 1
        found = self.objects.get((kind, name))
        now = int(time.time() * 1000)
        written = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': found['metadata']['created'] if found else now,
                'finalizers': [],
                'deleting': False,
            },
            'spec': found['spec'] if 'spec' in keep else spec,
            'status': found['status'] if found and not status else status,
        }
        self.objects[kind, name] = written
        self._record(kind, written, deleted=False)
        return written

    def delete(self, kind, name):
        """Delete an object."""
        self.revision += 1
        found = deepcopy(self.objects.pop((kind, name)))
        found['metadata']['revision'] = self.revision
        self._record(kind, found, deleted=True)

    async def keep_copies(self):
        """Copy the content regularly until cancelled."""
        while True:
            if not self.away:
                self.copies.append(
                    (time.monotonic(), self.revision, deepcopy(self.objects))
                )
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    async def restore(self, away_seconds, age_seconds, written_again):
        """Be away, then return from a copy of an age.

        ``written_again`` are the kinds that the operator and servers write
        again.
        """
        wanted = time.monotonic() - age_seconds
        usable = [copied for copied in self.copies if copied[0] <= wanted]
        current = deepcopy(self.objects)
        self.away = True
        self._wake()
        await asyncio.sleep(away_seconds)
        _, self.revision, objects = usable[-1]
        self.objects = deepcopy(objects)
        self.copies.clear()
        self.events.clear()
        self.compacted = self.revision
        self.era += 1
        self.away = False
        for (kind, name), found in current.items():
            if kind in written_again:
                self.put(kind, name, found['spec'], found['status'])
        self._wake()

    async def respond(self, writer, method, target, headers, body):
        """Serve one call."""
        if self.away:
            return False
        url = urlsplit(target)
        kind, _, name = url.path.partition('/objects/')[2].partition('/')
        query = {key: texts[0] for key, texts in parse_qs(url.query).items()}
        call = json.loads(body) if body else {}
        if method == 'GET' and 'watch' in query:
            answer = await self._watch(kind, query)
        elif method == 'GET':
            answer = self._read(kind, name)
        else:
            answer = self._write(method, kind, name, call)
        if self.away or answer is None:
            return False
        status, content = answer
        encoded = encode_json(content)
        head = {
            'Content-Type': 'application/json',
            'Content-Length': len(encoded),
            'Store-Era': self.era,
        }
        writer.write(make_head(status, head) + encoded)
        return True

    def _read(self, kind, name):
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        items = [
            found
            for (known, _), found in sorted(self.objects.items())
            if known == kind
        ]
        return 200, {'items': items, 'has_more': False, 'at': self.revision}

    async def _watch(self, kind, query):
        after, era = int(query['watch']), self.era
        if not self.compacted <= after <= self.revision:
            return 410, {}
        deadline = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            if self.away or self.era != era:
                return None
            events = [
                {'object': found, 'deleted': deleted}
                for known, found, deleted in self.events
                if known == kind and found['metadata']['revision'] > after
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at': self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _write(self, method, kind, name, call):
        metadata = call.get('metadata', {})
        if method == 'POST':
            found = self.objects.get((kind, metadata['name']))
            if found:
                return 409, found
            return 200, self.put(kind, metadata['name'], call['spec'])
        name, _, part = name.partition('/')
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if (
            metadata.get('revision', found['metadata']['revision'])
            != (found['metadata']['revision'])
        ):
            return 409, found
        if part == 'status':
            return 200, self.put(
                kind, name, status=call['status'], keep=('spec',)
            )
        if call['spec'] == found['spec']:
            return 200, found
        return 200, self.put(kind, name, call['spec'])

    def _record(self, kind, found, deleted):
        self.events.append((kind, found, deleted))
        self.changes[kind] = time.monotonic()
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Cloud(HttpServer):
    """Accept usage reports; refuse lower generation numbers."""

    def __init__(self):
        super().__init__()
        # Window, counts, holder, number and time of each accepted report.
        self.reports = []
        self.accepted = asyncio.Event()
        self._highest = 0

    async def respond(self, writer, method, target, headers, body):
        """Serve one call."""
        call = json.loads(body)
        number = int(headers['x-monsoonwall-fencing-token'])
        status = 409 if number < self._highest else 200
        self._highest = max(number, self._highest)
        if target == '/usage' and status == 200:
            self.reports.append(
                (
                    call['window'],
                    call['counts'],
                    headers['x-monsoonwall-duty-holder'],
                    number,
                    time.time(),
                )
            )
            self.accepted.set()
            self.accepted = asyncio.Event()
        content = make_head(status, {'Content-Length': 2}) + b'{}'
        writer.write(content)
        return True


class AppServer(HttpServer):
    """Serve requests of one service; a server that leaves says so."""

    def __init__(self, service, name, zone, body=b'found', work_seconds=0.02):
        super().__init__()
        self.service = service
        self.name = name
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.leaving = False
        # Attempt id and Unix time of each request that has run.
        self.runs = []
        self._body = body
        self._work_seconds = work_seconds

    def describe(self, state='ready'):
        """Return the server's entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 16,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': int(time.time() * 1000) - self.born,
            'born': self.born,
        }

    async def respond(self, writer, method, target, headers, body):
        """Run one request."""
        attempt_id = headers.get('x-monsoonwall-attempt-id', '')
        wanted = headers.get('x-monsoonwall-target-instance', self.name)
        head = {'X-Monsoonwall-Instance-Id': self.name}
        if attempt_id:
            head['X-Monsoonwall-Attempt-Id'] = attempt_id
        if self.leaving:
            head['Server-Leaving'] = '1'
        if wanted != self.name or not attempt_id:
            head['X-Monsoonwall-Not-Executed'] = '1'
            head['Content-Length'] = '0'
            status = 421 if attempt_id else 400
            writer.write(make_head(status, head))
            return True
        self.runs.append((attempt_id, time.time()))
        await asyncio.sleep(self._work_seconds)
        head['X-Monsoonwall-Response-Seal'] = f'{secrets.token_hex(4)}.1'
        head['Content-Length'] = len(self._body)
        writer.write(make_head(200, head) + self._body)
        return True


class Gateway:
    """One host: a process that the run command of the deploy file starts."""

    def __init__(self, deployment, name, zone):
        self.name = name
        self.zone = zone
        self.ports = {
            port: find_free_port()
            for port in ('front', 'ready', 'control', 'spare')
        }
        self.process = None
        # When the process was started last (Unix seconds).
        self.started_at = 0
        self._deployment = deployment
        self._path = Path(deployment.folder.name) / f'{name}.toml'

    async def start(self, bootstrap=False):
        """Write the settings and start the process."""
        deployment = self._deployment
        seeds = ', '.join(
            f'"127.0.0.1:{other.ports["control"]}"'
            for other in deployment.gateways[:3]
        )
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                seeds=seeds,
                bootstrap=str(bootstrap).lower(),
                store=await deployment.store.listen_for(self.name),
                cloud=deployment.cloud.port,
                **self.ports,
            )
        )
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', deployment.folder.name),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'MONSOONWALL_NODE_FILE': str(self._path),
        }
        log = (Path(deployment.folder.name) / f'{self.name}.log').open('ab')
        self.started_at = time.time()
        self.process = await asyncio.create_subprocess_exec(
            *('python3', 'deploy/launch.py', 'gateway'),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def read_log(self):
        """Return the log lines of the host."""
        path = Path(self._deployment.folder.name) / f'{self.name}.log'
        return path.read_text(errors='replace').splitlines()

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def wait_ready(self):
        """Wait some seconds until the host says that it is ready."""
        for _ in range(400):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether the host says that it is ready."""
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                answer = await fetch(
                    self.ports['ready'], 'GET', '/monsoonwall/ready', {}
                )
                return answer[0] == 200
        return False


class Deployment:
    """All processes and stand-ins of one case, and its record."""

    def __init__(self, folder):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.cloud = Cloud()
        self.gateways = []
        self.servers = []
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self._record = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()
        self._tasks = []

    def record(self, text):
        """Write a line with the time since the start to ``record.txt``."""
        line = f'{time.monotonic() - self._began:8.3f} {text}'
        self._record.write(f'{line}\n')
        self._record.flush()
        print(line, flush=True)

    def run_task(self, coroutine):
        """Run a coroutine until the deployment ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def start(
        self,
        hosts,
        servers,
        configuration,
        zones=('zone-a', 'zone-b', 'zone-c'),
    ):
        """Start everything and wait until all hosts are ready."""
        self.servers = servers
        self.gateways = [
            Gateway(self, f'edge-{number + 1}', zones[number % len(zones)])
            for number in range(hosts)
        ]
        for standin in (self.store, self.cloud, *servers):
            await standin.start()
        self.store.put('config', 'main', configuration)
        for server in servers:
            self.store.put('servers', server.name, server.describe())
        self.run_task(self.store.keep_copies())
        for gateway in self.gateways:
            await gateway.start(bootstrap=True)
        await self.wait_ready(20)
        self.record(f'{hosts} hosts are ready')

    async def wait_ready(self, seconds):
        """Wait until all hosts are ready."""
        async with asyncio.timeout(seconds):
            for gateway in self.gateways:
                await gateway.wait_ready()

    async def close(self):
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for gateway in self.gateways:
                log = '\n'.join(gateway.read_log())
                (Path(keep) / f'{gateway.name}.log').write_text(log)
        self._record.close()
        self.folder.cleanup()


async def fetch(port, method, target, headers, body=b''):
    """Send one request on a new channel; return status, headers and body."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(make_request(method, target, headers, body))
        return await read_response(reader)
    finally:
        writer.close()


def make_request(method, target, headers, body=b''):
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method not in {'GET', 'HEAD'}:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


async def read_response(reader):
    """Return status, headers and body of a response with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    first, *lines = head.split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return int(first.split(' ')[1]), headers, body


def make_caller_headers(key, budget_ms=1500):
    """Return the headers of a client attempt with a new id."""
    return {
        'X-Monsoonwall-Attempt-Id': secrets.token_hex(8),
        'X-Monsoonwall-Deadline-Ms': str(budget_ms),
        'Api-Key': key,
    }


def run_case(folder, play):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2.

    ``play`` returns whether the rule held.
    """

    async def run():
        deployment = Deployment(folder)
        try:
            return await play(deployment)
        finally:
            await deployment.close()

    try:
        held = asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as error:
        print(f'the case could not run: {error!r}', file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
