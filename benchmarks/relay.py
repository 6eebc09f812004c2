"""Measure the overhead of one entry host in front of the engines.

Prints the time to the first token through the entry host and directly, the
tokens per second that the entry host relays, and its start-up time.

    PYTHONPATH=src:. python -m benchmarks.relay
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
TOKENS_PER_STREAM = 2000
TOKEN_SECONDS = 0.002
MILLISECONDS_PER_SECOND = 1000
MAX_CLIENTS = 500


class Caller:
    """Send completions to an engine or to the entry host."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def stream(self, name, number, tokens):
        """Stream a completion; return the seconds to its first bytes."""
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
                        # Fields that an engine requires in a direct call.
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
    """Return the first-token times of direct and of proxied calls."""
    random_source = random.Random(SEED)
    send_rate = RATE_PER_SECOND * 2
    direct = []
    proxied = []
    for number in range(PROBES):
        # Alternate, so that a busy machine affects both kinds equally.
        direct.append(asyncio.create_task(caller.stream('engine-0', number, 5)))
        await asyncio.sleep(random_source.expovariate(send_rate))
        proxied.append(asyncio.create_task(caller.stream('entry', number, 5)))
        await asyncio.sleep(random_source.expovariate(send_rate))
    return await asyncio.gather(*direct), await asyncio.gather(*proxied)


async def measure_relay(caller, process):
    """Return the tokens per second and processor seconds per token."""
    before = sum(process.cpu_times()[:2])
    started = time.perf_counter()
    await asyncio.gather(
        *(
            caller.stream('entry', number, TOKENS_PER_STREAM)
            for number in range(STREAMS)
        )
    )
    elapsed_seconds = time.perf_counter() - started
    processor_seconds = sum(process.cpu_times()[:2]) - before
    count = STREAMS * TOKENS_PER_STREAM
    return count / elapsed_seconds, processor_seconds / count


def start_deployment(deployment):
    """Start all processes; return the entry host's seconds until ready."""
    deployment.start_platform()
    engines = [f'engine-{index}' for index in range(ENGINES)]
    for name in engines:
        deployment.start_engine(name)
    deployment.put_configuration(make_document(deployment, engines, []))
    started = time.perf_counter()
    deployment.start_entry('entry', 'zone-a')
    deployment.wait_ready('entry')
    return time.perf_counter() - started


def run():
    with Deployment() as deployment:
        ready_seconds = start_deployment(deployment)
        print(f'start to ready: {ready_seconds:.2f} s')
        caller = Caller(deployment)
        process = psutil.Process(deployment.processes['entry'].pid)
        asyncio.run(measure(deployment, caller, process))
        print(f'resident memory: {process.memory_info().rss / 1e6:.0f} MB')


async def measure(deployment, caller, process):
    direct, proxied = await measure_first_tokens(caller)
    print_percentiles('directly', direct)
    print_percentiles('through', proxied)
    added = statistics.median(proxied) - statistics.median(direct)
    print(f'added to the median: {added * MILLISECONDS_PER_SECOND:.2f} ms')
    for index in range(ENGINES):
        deployment.control(f'engine-{index}', token_seconds=TOKEN_SECONDS)
    rate, seconds_per_token = await measure_relay(caller, process)
    print(
        f'relayed: {rate:.0f} tokens per second, '
        f'{seconds_per_token * 1e6:.0f} us of processor time each'
    )


def print_percentiles(name, seconds):
    percentiles = statistics.quantiles(seconds, n=100)
    print(
        f'first token {name}: '
        f'p50 {percentiles[49] * MILLISECONDS_PER_SECOND:.2f} ms, '
        f'p99 {percentiles[98] * MILLISECONDS_PER_SECOND:.2f} ms'
    )


if __name__ == '__main__':
    run()
