"""Measure what one entry host adds to an engine, in one run.

Prints the time to the first token through an entry host and directly, the
tokens a second that one entry host relays, and its time from start to ready.

    python -m benchmarks.relay
"""

import asyncio
import random
import statistics
import time

import psutil
from msgspec import json
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from tests.standins.deployment import API_KEY, Deployment, make_document

SEED = 11
ENGINES = 4
RATE_PER_SECOND = 18
PROBES = 360
STREAMS = 32
TOKENS_A_STREAM = 2000
TOKEN_SECONDS = 0.002
MILLISECONDS = 1000
MAX_CLIENTS = 500


class Caller:
    """Send completions to the engines and through the entry host."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def stream(self, name, number, tokens):
        """Return the seconds to the first bytes of a streamed answer."""
        started = time.perf_counter()
        first = []
        await self._client.fetch(
            HTTPRequest(
                f'http://127.0.0.1:{self._deployment.ports[name]}'
                '/v1/completions',
                method='POST',
                headers={'Authorization': f'Bearer {API_KEY}'},
                body=json.encode(
                    {
                        'model': 'hotline',
                        'prompt': f'question {number}',
                        'max_tokens': tokens,
                        'stream': True,
                        # What the engine wants when it is called directly.
                        'request_id': f'direct-{number}',
                        'attempt': 1,
                        'seed': 1,
                        'resume_tokens': [],
                    }
                ),
                request_timeout=120,
                streaming_callback=lambda _: first.append(time.perf_counter()),
            )
        )
        return first[0] - started


async def measure_first_tokens(caller):
    """Return first-token times: directly, and through the entry host."""
    draw = random.Random(SEED)
    pause = RATE_PER_SECOND * 2
    direct = []
    through = []
    for number in range(PROBES):
        # Both are sent in turn, so that a busy moment meets both alike.
        direct.append(asyncio.create_task(caller.stream('engine-0', number, 5)))
        await asyncio.sleep(draw.expovariate(pause))
        through.append(asyncio.create_task(caller.stream('entry', number, 5)))
        await asyncio.sleep(draw.expovariate(pause))
    return await asyncio.gather(*direct), await asyncio.gather(*through)


async def measure_relay(caller, process):
    """Return the tokens a second, and the processor time of each."""
    before = sum(process.cpu_times()[:2])
    started = time.perf_counter()
    await asyncio.gather(
        *(
            caller.stream('entry', number, TOKENS_A_STREAM)
            for number in range(STREAMS)
        )
    )
    lasted = time.perf_counter() - started
    used = sum(process.cpu_times()[:2]) - before
    count = STREAMS * TOKENS_A_STREAM
    return count / lasted, used / count


def start(deployment):
    """Start the deployment and return the seconds from start to ready."""
    deployment.start_platform()
    engines = [f'engine-{at}' for at in range(ENGINES)]
    for name in engines:
        deployment.start_engine(name)
    deployment.put_configuration(make_document(deployment, engines, []))
    started = time.perf_counter()
    deployment.start_entry('entry', 'zone-a')
    deployment.wait_ready('entry')
    return time.perf_counter() - started


def run():
    with Deployment() as deployment:
        ready = start(deployment)
        print(f'start to ready: {ready:.2f} s')
        caller = Caller(deployment)
        process = psutil.Process(deployment.processes['entry'].pid)
        asyncio.run(measure(deployment, caller, process))
        print(f'resident: {process.memory_info().rss / 1e6:.0f} MB')


async def measure(deployment, caller, process):
    direct, through = await measure_first_tokens(caller)
    show_ranks('directly', direct)
    show_ranks('through', through)
    added = statistics.median(through) - statistics.median(direct)
    print(f'added median: {added * MILLISECONDS:.2f} ms')
    for at in range(ENGINES):
        deployment.control(f'engine-{at}', token_seconds=TOKEN_SECONDS)
    rate, each = await measure_relay(caller, process)
    print(f'relayed: {rate:.0f} tokens a second, {each * 1e6:.0f} us each')


def show_ranks(name, seconds):
    ranks = statistics.quantiles(seconds, n=100)
    print(
        f'first token {name}: p50 {ranks[49] * MILLISECONDS:.2f} ms, '
        f'p99 {ranks[98] * MILLISECONDS:.2f} ms'
    )


if __name__ == '__main__':
    run()
