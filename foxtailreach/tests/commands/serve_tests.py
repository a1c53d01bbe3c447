"""Hosts as real processes: publish, serve, and stop under load.

A host that gets SIGTERM must finish its requests or refuse them as not run.
After SIGKILL no answer may claim that a request was not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from foxtailreach.demo.environment import LOOPBACK, free_ports

KEY = 'secret-key'
START_LIMIT_S = 20
SERVICE_MS = 200
REQUESTS = 12
OBJECTS = """
[domains.d]
[services.s]
warm_up_ms = 0
cold_slots = 32
[targets.t]
service = "s"
domain = "d"
address = "127.0.0.1"
port = {port}
slots = 32
[routes.r]
service = "s"
path_prefix = "/job"
[limits.l]
rate_per_s = 1000
burst_requests = 1000
[customers.c]
limit = "l"
[keys.k]
customer = "c"
digest_sha256 = "{digest}"
"""
SETTINGS = """
[host]
host_id = "h{caller}"
domain = "d"
address = "127.0.0.1"
caller_port = {caller}
peer_port = {peer}
admin_port = {admin}
[platform]
address = "127.0.0.1"
port = {platform}
poll_interval_ms = 50
"""


class Processes:
    """A fake platform, a fake target and two hosts, each in a process."""

    def __init__(self, folder: Path, stack: contextlib.ExitStack) -> None:
        self._stack = stack
        self.platform, self.target, *ports = free_ports(8)
        self.start('foxtailreach.testing', 'platform', f'{self.platform}')
        self.start(
            'foxtailreach.testing',
            'target',
            f'{self.target}',
            '--slots=32',
            f'--service-ms={SERVICE_MS}',
        )
        self.objects = folder / 'objects.toml'
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        text = OBJECTS.format(port=self.target, digest=digest)
        self.objects.write_text(text)
        self.hosts = {}
        for caller_port, peer_port, admin_port in (ports[:3], ports[3:]):
            self.settings = folder / f'{caller_port}.toml'
            self.settings.write_text(
                SETTINGS.format(
                    caller=caller_port,
                    peer=peer_port,
                    admin=admin_port,
                    platform=self.platform,
                ),
            )
            arguments = ('serve', '--settings', str(self.settings))
            process = self.start('foxtailreach', *arguments)
            self.hosts[caller_port] = (process, peer_port)

    def start(self, *arguments: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            (sys.executable, '-m', *arguments),
            stderr=subprocess.DEVNULL,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    with contextlib.ExitStack() as stack:
        yield Processes(tmp_path, stack)


async def fetch(
    client: SimpleAsyncHTTPClient,
    port: int,
    path: str = '/job/item',
) -> HTTPResponse | None:
    request = HTTPRequest(
        f'http://{LOOPBACK}:{port}{path}',
        headers={'X-Api-Key': KEY},
    )
    try:
        return await client.fetch(request, raise_error=False)
    except OSError:
        return None


async def register_hosts(
    client: SimpleAsyncHTTPClient,
    processes: Processes,
) -> None:
    for caller_port, (_, peer_port) in processes.hosts.items():
        entry = {
            'host_id': f'h{caller_port}',
            'domain': 'd',
            'address': LOOPBACK,
            'peer_port': peer_port,
        }
        url = f'http://{LOOPBACK}:{processes.platform}/hosts/h{caller_port}'
        await client.fetch(url, method='PUT', body=json.dumps(entry))


async def wait_until_serving(
    client: SimpleAsyncHTTPClient,
    ports: list[int],
) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        for port in ports:
            while True:
                reply = await fetch(client, port)
                if reply is not None and reply.code == 200:
                    break
                await asyncio.sleep(0.1)


def test_stop_loses_no_request_and_kill_reports_no_false_not_run(
    processes: Processes,
) -> None:
    asyncio.run(check_stop_and_kill(processes))


async def check_stop_and_kill(processes: Processes) -> None:
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)
    arguments = ('publish', '--settings', str(processes.settings))
    published = False
    async with asyncio.timeout(START_LIMIT_S):
        while not published:
            completed = await asyncio.to_thread(
                subprocess.run,
                (
                    sys.executable,
                    '-m',
                    'foxtailreach',
                    *arguments,
                    str(processes.objects),
                ),
                capture_output=True,
                check=False,
            )
            published = completed.returncode == 0
    await register_hosts(client, processes)
    first, second = processes.hosts
    await wait_until_serving(client, [first, second])
    in_flight = [
        asyncio.ensure_future(fetch(client, first)) for _ in range(REQUESTS)
    ]
    # The host has read requests as soon as it has answered one.
    _, at_work = await asyncio.wait(
        in_flight, return_when=asyncio.FIRST_COMPLETED
    )
    process, _ = processes.hosts[first]
    process.send_signal(signal.SIGTERM)
    codes = []
    for reply in await asyncio.gather(*at_work):
        assert reply is not None
        codes.append(reply.code)
        if reply.code != 200:
            assert json.loads(reply.body)['verdict'] == 'not-run'
            assert json.loads(reply.body)['reason'] == 'stopping'
    assert 200 in codes
    assert await asyncio.to_thread(process.wait, START_LIMIT_S) == 0
    await wait_until_serving(client, [second])
    in_flight = [
        asyncio.ensure_future(fetch(client, second)) for _ in range(REQUESTS)
    ]
    await asyncio.sleep(SERVICE_MS / 4000)
    processes.hosts[second][0].kill()
    replies = await asyncio.gather(*in_flight, return_exceptions=True)
    verdicts = [
        reply.headers.get('Foxtailreach-Verdict')
        for reply in replies
        if isinstance(reply, HTTPResponse)
    ]
    assert 'not-run' not in verdicts
    client.close()
