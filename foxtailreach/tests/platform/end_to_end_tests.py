"""End-to-end tests on loopback: hosts as processes, fake store and targets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import pytest

from foxtailreach.tests.platform.fakes import Store, Target
from foxtailreach.tests.platform.records_tests import CONFIGURATION

BASE_PORT = 21000
# Each fleet gets a block of 10 ports. The first one depends on the process, so
# that concurrent test runs rarely collide.
_PORTS = itertools.count(BASE_PORT + (os.getpid() * 20) % 20000, 10)
_IDS = itertools.count(1)


def configuration(version: int, **customer_fields: Any) -> dict[str, Any]:
    """Return a configuration with an unsafe and a safe route.

    Its customers have high limits and the given fields.
    """
    document: dict[str, Any] = json.loads(json.dumps(CONFIGURATION))
    document['version'] = f'{version:08x}'
    resources = document['resources']
    resources[0]['spec']['kind'] = 'unsafe'
    resources[1]['spec'] = {
        **resources[0]['spec'],
        'path_prefix': '/safe/',
        'kind': 'safe',
    }
    for resource in resources:
        if resource['resource_type'] == 'tenants':
            resource['spec'].update(
                rate_per_s=1000, burst=1000, **customer_fields
            )
    return document


@dataclass(slots=True)
class Fleet:
    """Host processes in two failure domains, with a fake store and targets."""

    store: Store
    targets: list[Target]
    folder: Path
    port: int
    processes: dict[str, asyncio.subprocess.Process] = field(
        default_factory=dict,
    )

    def address(self, name: str) -> str:
        return f'127.0.0.{10 + int(name[1:])}'

    def settings(self, name: str) -> str:
        address = self.address(name)
        zone = 'north' if int(name[1:]) % 2 else 'south'
        port = self.port
        return f'''
node_name = "{name}"
ip = "{address}"
zone = "{zone}"
internal_ports = [{port}, {port + 1}]
seeds = []
first_start = true
bounds = ["grace_s=6", "retry_budget_ratio=0.2", "revoke_strict=false"]
unknown_field = 1
[listen]
frontend = "{address}:{port + 2}"
readiness = "{address}:{port + 3}"
[platform]
address = "127.0.0.1:{self.store.port}"
'''

    async def start(self, name: str) -> None:
        path = self.folder / f'{name}.toml'
        path.write_text(self.settings(name))
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'foxtailreach.platform',
            env={**os.environ, 'FOXTAILREACH_CONFIG': str(path)},
            stdout=log,
            stderr=log,
        )

    async def status(self, name: str) -> int:
        try:
            answer = await call(
                self.address(name), self.port + 3, '/foxtailreach/ready'
            )
        except OSError:
            return 0
        return answer.status

    async def wait_ready(self, name: str) -> None:
        async with asyncio.timeout(10):
            while await self.status(name) != 200:
                await asyncio.sleep(0.05)

    async def request(
        self, name: str, path: str = '/safe/x', **fields: Any
    ) -> Answer:
        return await call(self.address(name), self.port + 2, path, **fields)

    def lines(self, name: str) -> list[dict[str, Any]]:
        text = (self.folder / f'{name}.log').read_text()
        return [json.loads(line) for line in text.splitlines()]


@dataclass(slots=True)
class Answer:
    """An answer to a caller."""

    status: int
    headers: dict[str, str]
    body: str


async def call(
    address: str,
    port: int,
    path: str,
    method: str = 'GET',
    key: str = 'k1',
    body: bytes = b'',
    request_id: str = '',
) -> Answer:
    reader, writer = await asyncio.open_connection(address, port)
    parser = h11.Connection(h11.CLIENT)
    writer.write(
        request_bytes(parser, path, method, key, body, request_id),
    )
    try:
        return await read_answer(reader, parser)
    finally:
        writer.close()


def request_bytes(
    parser: h11.Connection,
    path: str,
    method: str = 'GET',
    key: str = 'k1',
    body: bytes = b'',
    request_id: str = '',
) -> bytes:
    headers = [
        ('Host', 'shop.example'),
        ('X-Foxtailreach-Request-Id', request_id or f'id{next(_IDS)}'),
        ('X-Foxtailreach-Request-Deadline-Ms', '4000'),
    ]
    if key:
        headers.append(('Authorization', f'Token {key}'))
    if body:
        headers.append(('Content-Length', str(len(body))))
    payload = parser.send(
        h11.Request(method=method, target=path, headers=headers),
    )
    if body:
        payload += parser.send(h11.Data(data=body)) or b''
    return payload + (parser.send(h11.EndOfMessage()) or b'')


async def read_answer(
    reader: asyncio.StreamReader, parser: h11.Connection
) -> Answer:
    response: h11.Response | None = None
    chunks = []
    while True:
        event = parser.next_event()
        match event:
            case h11.Response():
                response = event
            case h11.Data(data=chunk):
                chunks.append(bytes(chunk))
            case h11.EndOfMessage():
                assert response is not None
                headers = {
                    name.decode(): text.decode()
                    for name, text in response.headers
                }
                body = b''.join(chunks).decode()
                return Answer(response.status_code, headers, body)
            case h11.NEED_DATA:
                chunk = await reader.read(65536)
                if not chunk:
                    raise ConnectionError('closed without an answer')
                parser.receive_data(chunk)
            case _:
                raise AssertionError(event)


@contextlib.asynccontextmanager
async def start_fleet(folder: Path, hosts: int = 2) -> AsyncIterator[Fleet]:
    store = Store()
    targets = [Target(f't{index}') for index in range(3)]
    for target in targets:
        target.open()
        await store.put('keyed.servers', target.target_id, target.entry())
    await store.put('keyed.op', 'config', configuration(1))
    fleet = Fleet(store, targets, folder, next(_PORTS))
    names = [f'h{index}' for index in range(1, hosts + 1)]
    try:
        for name in names:
            await fleet.start(name)
        for name in names:
            await fleet.wait_ready(name)
        yield fleet
    finally:
        for process in fleet.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        store.close()


Scenario = Callable[[Fleet], Awaitable[None]]


def run_scenario(folder: Path, scenario: Scenario, hosts: int = 2) -> None:
    async def main() -> None:
        async with asyncio.timeout(40):
            async with start_fleet(folder, hosts) as fleet:
                await scenario(fleet)

    asyncio.run(main())


async def answers_and_refusals(fleet: Fleet) -> None:
    answer = await fleet.request('h1', '/a/x?q=1', method='POST', body=b'b')
    assert answer.status == 200
    assert answer.headers['x-foxtailreach-response-signature'] == 'signed'
    seen = [seen for target in fleet.targets for seen in target.seen]
    assert [
        (received.path, received.customer, received.body) for received in seen
    ] == [('/a/x?q=1', 'c1', b'b')]
    assert 'Authorization' not in seen[0].headers
    expected = seen[0].headers['X-Foxtailreach-Expected-Instance']
    assert answer.body.startswith(expected)
    assert (await fleet.request('h2', key='nobody')).status == 401
    assert (await fleet.request('h2', key='')).status == 401
    assert (await fleet.request('h2', '/none')).status == 404


async def pipelined_answers_keep_their_order(fleet: Fleet) -> None:
    for target in fleet.targets:
        target.delay_s = 0.3
    reader, writer = await asyncio.open_connection(
        fleet.address('h1'), fleet.port + 2
    )
    parsers = [h11.Connection(h11.CLIENT) for _ in range(4)]
    started = asyncio.get_running_loop().time()
    for index, parser in enumerate(parsers):
        writer.write(
            request_bytes(parser, f'/safe/{index}', request_id=f'p{index}'),
        )
    rest = b''
    for index, parser in enumerate(parsers):
        if rest:
            parser.receive_data(rest)
        answer = await read_answer(reader, parser)
        rest = parser.trailing_data[0]
        assert answer.headers['x-foxtailreach-request-id'] == f'p{index}'
        assert answer.body.endswith(f'/safe/{index}')
    assert asyncio.get_running_loop().time() - started < 0.9
    writer.close()


async def failing_target_fails_no_safe_request(fleet: Fleet) -> None:
    fleet.targets[0].status = lambda: 500
    statuses = [
        (await fleet.request(name)).status
        for name in ('h1', 'h2')
        for _ in range(10)
    ]
    assert set(statuses) == {200}


async def unsafe_request_is_sent_once(fleet: Fleet) -> None:
    for target in fleet.targets:
        target.status = lambda: 500
    answer = await fleet.request('h1', '/a/x', method='POST', request_id='once')
    assert answer.status == 500
    seen = [
        received
        for target in fleet.targets
        for received in target.seen
        if received.request_id == 'once'
    ]
    assert len(seen) == 1


async def withdrawn_key_stops_working(fleet: Fleet) -> None:
    assert (await fleet.request('h1', key='k2')).status == 200
    await fleet.store.put(
        'keyed.op', 'config', configuration(2, api_keys=['k1'])
    )
    await asyncio.sleep(1.5)
    for name in ('h1', 'h2'):
        assert (await fleet.request(name, key='k2')).status == 401
        assert (await fleet.request(name, key='k1')).status == 200


async def draining_and_evacuated_targets_get_no_requests(
    fleet: Fleet,
) -> None:
    leaving = fleet.targets[0]
    await fleet.store.put(
        'keyed.servers', leaving.target_id, leaving.entry('draining')
    )
    await asyncio.sleep(1.5)
    leaving.seen.clear()
    for _ in range(9):
        assert (await fleet.request('h1')).status == 200
    assert not leaving.seen
    await fleet.store.put('keyed.op', 'evacuate/north', {})
    await asyncio.sleep(2)
    answer = await fleet.request('h2')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    await fleet.store.put('keyed.op', 'evacuate/north', None)
    await asyncio.sleep(2)
    assert (await fleet.request('h2')).status == 200


async def store_outage_keeps_targets_in_service(fleet: Fleet) -> None:
    fleet.store.is_down = True
    await asyncio.sleep(2)
    assert (await fleet.request('h1')).status == 200
    for target in fleet.targets:
        await fleet.store.put('keyed.servers', target.target_id, None)
    fleet.store.is_down = False
    await asyncio.sleep(1.2)
    for target in fleet.targets[1:]:
        await fleet.store.put('keyed.servers', target.target_id, target.entry())
    assert (await fleet.request('h1')).status == 200
    await asyncio.sleep(4)
    fleet.targets[0].seen.clear()
    for _ in range(6):
        assert (await fleet.request('h2')).status == 200
    assert not fleet.targets[0].seen, (
        'a target that was not renewed after the outage'
    )


async def trimmed_history_is_read_in_full(fleet: Fleet) -> None:
    operator = fleet.store.topics['keyed.op']
    for version in range(2, 5):
        operator.append(('config', json.dumps(configuration(version)).encode()))
    document = configuration(9, api_keys=['k9'])
    operator.append(('config', json.dumps(document).encode()))
    fleet.store.first_offsets['keyed.op'] = len(operator)
    await asyncio.sleep(3.5)
    assert (await fleet.request('h1', key='k9')).status == 200


async def stopped_host_finishes_its_requests(fleet: Fleet) -> None:
    for target in fleet.targets:
        target.delay_s = 1.0
    pending = asyncio.ensure_future(
        fleet.request('h1', '/a/x', method='POST'),
    )
    await asyncio.sleep(0.3)
    process = fleet.processes['h1']
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    assert await fleet.status('h1') == 503
    late = await fleet.request('h1')
    assert (late.status, late.headers['connection']) == (200, 'close')
    assert (await pending).status == 200
    assert await asyncio.wait_for(process.wait(), 6) == 0
    assert fleet.lines('h1')[-1]['message'] == 'stopped'


async def request_that_arrives_late_in_a_stop_is_refused(fleet: Fleet) -> None:
    """Its target takes longer than the rest of the grace period."""
    for target in fleet.targets:
        target.delay_s = 2.0
    address, port = fleet.address('h1'), fleet.port + 2
    parser = h11.Connection(h11.CLIENT)
    payload = request_bytes(parser, '/a/x', method='POST', body=b'late')
    fleet.processes['h1'].send_signal(signal.SIGTERM)
    await asyncio.sleep(1.4)
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(payload[:-1])
    await asyncio.sleep(2.4)
    writer.write(payload[-1:])
    answer = await read_answer(reader, parser)
    assert (answer.status, answer.headers['connection']) == (503, 'close')
    assert not any(target.seen for target in fleet.targets)
    writer.close()


async def killed_host_barely_delays_the_others(fleet: Fleet) -> None:
    fleet.processes['h1'].kill()
    loop = asyncio.get_running_loop()
    for _ in range(20):
        started = loop.time()
        assert (await fleet.request('h2')).status == 200
        assert loop.time() - started < 0.8


async def reload_keeps_serving(fleet: Fleet) -> None:
    process = fleet.processes['h1']
    path = fleet.folder / 'h1.toml'
    path.write_text('broken = [')
    process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    assert (await fleet.request('h1')).status == 200
    messages = [line['message'] for line in fleet.lines('h1')]
    assert any('settings not reloaded' in message for message in messages)


@pytest.mark.parametrize(
    'scenario',
    [
        answers_and_refusals,
        pipelined_answers_keep_their_order,
        failing_target_fails_no_safe_request,
        unsafe_request_is_sent_once,
        withdrawn_key_stops_working,
        draining_and_evacuated_targets_get_no_requests,
        store_outage_keeps_targets_in_service,
        trimmed_history_is_read_in_full,
        stopped_host_finishes_its_requests,
        request_that_arrives_late_in_a_stop_is_refused,
        killed_host_barely_delays_the_others,
        reload_keeps_serving,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_fleet_end_to_end(tmp_path: Path, scenario: Scenario) -> None:
    run_scenario(tmp_path, scenario)


def test_invalid_settings_print_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / 'settings.toml'
        path.write_text('node_name = "x"\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'foxtailreach.platform',
            env={**os.environ, 'FOXTAILREACH_CONFIG': str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert stderr.decode().count('\n') == 1
        assert 'listen' in stderr.decode()

    asyncio.run(main())
