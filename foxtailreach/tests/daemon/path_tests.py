"""End-to-end test over real sockets: two hosts, a platform and a target."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from foxtailreach.commands.edits import withdraw_key_edit
from foxtailreach.commands.publish import publish
from foxtailreach.config.objects import (
    ChangeSet,
    Customer,
    FailureDomain,
    Key,
    Limit,
    Objects,
    Route,
    Service,
    Target,
)
from foxtailreach.config.settings import (
    HostSection,
    HostSettings,
    LimitsSection,
    LogSection,
    PlatformSection,
)
from foxtailreach.core.messages import HostEntry
from foxtailreach.daemon.host import Host
from foxtailreach.daemon.platform import PlatformAddress
from foxtailreach.demo.environment import LOOPBACK, free_ports
from foxtailreach.testing.platform import PlatformState, create_platform
from foxtailreach.testing.target import (
    DIGEST_HEADER,
    TEST_ID_HEADER,
    TargetBehaviour,
    TargetServer,
    TargetState,
)

KEY = 'secret-key'
BIG_BYTES = 3_000_000
TARGET_SLOTS = 8
WAIT_LIMIT_S = 10


@dataclass
class Fleet:
    """Two hosts in different domains in front of one target."""

    hosts: dict[str, Host]
    tasks: dict[str, asyncio.Task[None]]
    ports: dict[str, int]
    platform: PlatformAddress
    target: TargetServer
    client: SimpleAsyncHTTPClient

    async def fetch(
        self,
        path: str = '/job/item',
        host: str = 'near',
        headers: dict[str, str] | None = None,
        **options: Any,
    ) -> HTTPResponse:
        sent = {'X-Api-Key': KEY, TEST_ID_HEADER: 'test'} | (headers or {})
        url = f'http://{LOOPBACK}:{self.ports[host]}{path}'
        request = HTTPRequest(url, headers=sent, **options)
        try:
            return await self.client.fetch(request, raise_error=False)
        except HTTPTimeoutError:
            return HTTPResponse(request, 599)

    async def raw(self, request: bytes, host: str = 'near') -> bytes:
        reader, writer = await asyncio.open_connection(
            LOOPBACK,
            self.ports[host],
        )
        writer.write(request)
        reply = await asyncio.wait_for(reader.read(65536), 5)
        writer.close()
        return reply


@contextlib.asynccontextmanager
async def start_fleet(folder: Path) -> AsyncIterator[Fleet]:
    platform_port, target_port, *ports = free_ports(8)
    state = PlatformState()
    platform = create_platform(state)
    platform.listen(platform_port, LOOPBACK)
    behaviour = TargetBehaviour(slots=8, service_ms=1)
    target = TargetServer(TargetState('only', behaviour), LOOPBACK, target_port)
    target.start()
    address = PlatformAddress(LOOPBACK, platform_port, 1000)
    objects = build_objects(target_port)
    await publish(
        address,
        lambda current, change_id, version: ChangeSet(
            change_id, version, objects
        ),
    )
    hosts, tasks = {}, {}
    for index, name in enumerate(('near', 'far')):
        caller, peer, admin = ports[3 * index : 3 * index + 3]
        settings = HostSettings(
            host=HostSection(
                name, name, IPv4Address(LOOPBACK), caller, peer, admin
            ),
            platform=PlatformSection(
                IPv4Address(LOOPBACK), platform_port, poll_interval_ms=50
            ),
            limits=LimitsSection(max_header_bytes=4096),
            log=LogSection(trace_file=str(folder / f'{name}.jsonl')),
        )
        hosts[name] = Host(settings)
        state.hosts[name] = HostEntry(name, name, LOOPBACK, peer)
    for name, host in hosts.items():
        tasks[name] = asyncio.ensure_future(host.serve())
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)
    fleet = Fleet(
        hosts,
        tasks,
        {name: host.settings.host.caller_port for name, host in hosts.items()},
        address,
        target,
        client,
    )
    try:
        await wait_until_serving(fleet)
        yield fleet
    finally:
        for host in hosts.values():
            host.request_stop()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        await target.stop()
        platform.stop()
        client.close()


def build_objects(port: int) -> Objects:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return Objects(
        domains={'near': FailureDomain(), 'far': FailureDomain()},
        services={
            'work': Service(warm_up_ms=0, cold_slots=8, shed_statuses=(503,)),
        },
        targets={
            'only': Target('work', 'near', IPv4Address(LOOPBACK), port, 8),
        },
        routes={
            'work': Route('work', '/job'),
            'open': Route('work', '/open', open=True),
        },
        limits={'wide': Limit(1000, 1000)},
        customers={'customer': Customer('wide')},
        keys={'key': Key('customer', digest)},
    )


async def wait_until_serving(fleet: Fleet) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while True:
            replies = [await fleet.fetch(host=host) for host in fleet.hosts]
            if all(reply.code == 200 for reply in replies):
                return
            await asyncio.sleep(0.05)


def run(check: Callable[[Fleet], Awaitable[None]], folder: Path) -> None:
    async def main() -> None:
        async with start_fleet(folder) as fleet:
            await check(fleet)

    asyncio.run(main())


def test_hosts_end_to_end(tmp_path: Path) -> None:
    """Run all cases on one fleet, because it takes seconds to start."""
    run(check_all_cases, tmp_path)


async def check_all_cases(fleet: Fleet) -> None:
    for check in (
        check_answers,
        check_streams,
        check_telemetry,
        check_refusals,
        check_malformed_requests,
        check_bounded_connections,
        check_lost_connection,
        check_unreachable_target,
        check_abandoned_request,
        check_withdrawn_key,
        check_graceful_stop,
    ):
        fleet.target.state.runs.clear()
        fleet.target.state.behaviour = TargetBehaviour(slots=8, service_ms=1)
        await check(fleet)


async def check_answers(fleet: Fleet) -> None:
    for host in fleet.hosts:
        reply = await fleet.fetch(host=host)
        assert reply.code == 200
        assert reply.headers['Foxtailreach-Verdict'] == 'ran'
        body_digest = hashlib.sha256(reply.body).hexdigest()
        assert reply.headers[DIGEST_HEADER] == body_digest
        head = await fleet.fetch(host=host, method='HEAD')
        assert head.code == 200
        assert int(head.headers['Content-Length']) > 0
    runs = fleet.target.state.runs
    assert not any(target_run.saw_key for target_run in runs)
    assert {target_run.customer for target_run in runs} == {'customer'}
    forged = {'Foxtailreach-Customer': 'other', 'X-Forwarded-For': '1.2.3.4'}
    await fleet.fetch(headers=forged)
    assert runs[-1].customer == 'customer'


async def check_streams(fleet: Fleet) -> None:
    """Large bodies pass complete both ways, with and without a length."""
    body = bytes(range(256)) * (BIG_BYTES // 256)
    digest = hashlib.sha256(body).hexdigest()

    async def produce(write: Callable[[bytes], Awaitable[None]]) -> None:
        for start in range(0, len(body), 100_000):
            await write(body[start : start + 100_000])

    for host in fleet.hosts:
        reply = await fleet.fetch(
            f'/job/bundle?size={BIG_BYTES}',
            host=host,
            method='POST',
            body_producer=produce,
        )
        assert reply.code == 200
        assert reply.headers['X-Upload-Sha256'] == digest
        assert len(reply.body) == BIG_BYTES
        reply = await fleet.fetch(host=host, method='PUT', body=body)
        assert reply.headers['X-Upload-Sha256'] == digest


async def check_telemetry(fleet: Fleet) -> None:
    """Both hosts write spans; metrics and status are served."""
    parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
    for _ in range(3):
        await fleet.fetch(host='far', headers={'traceparent': parent})
    received = fleet.target.state.runs[-1].traceparent.split('-')
    assert received[1] == parent.split('-')[1]
    assert received[2] != parent.split('-')[2]
    async with asyncio.timeout(10):
        for name in ('far', 'near'):
            path = Path(fleet.hosts[name].settings.log.trace_file)
            while received[1] not in path.read_text(encoding='utf-8'):
                await asyncio.sleep(0.1)
    port = fleet.hosts['far'].settings.host.admin_port
    admin = f'http://{LOOPBACK}:{port}'
    metrics = (await fleet.client.fetch(f'{admin}/metrics')).body.decode()
    assert 'foxtailreach_latency_seconds{customer="customer"' in metrics
    assert 'foxtailreach_answered_total{customer="customer"' in metrics
    status = json.loads((await fleet.client.fetch(f'{admin}/status')).body)
    assert status['host_id'] == 'far'
    assert set(status['hosts']) == {'far', 'near'}


async def check_refusals(fleet: Fleet) -> None:
    wrong_key = {'X-Api-Key': 'wrong'}
    cases: list[tuple[str, dict[str, str], int, str]] = [
        ('/job/item', {'X-Api-Key': ''}, 401, 'no-key'),
        ('/job/item', wrong_key, 401, 'unknown-key'),
        ('/none', {}, 404, 'no-route'),
        ('/job/item', {'Authorization': 'Bearer x'}, 400, 'clashing-keys'),
        ('/job/item', {'X-Long': 'x' * 5000}, 431, 'headers-too-long'),
    ]
    for path, headers, status, reason in cases:
        for host in fleet.hosts:
            reply = await fleet.fetch(path, host=host, headers=headers)
            assert reply.code == status
            refusal = json.loads(reply.body)
            assert refusal['reason'] == reason
            assert refusal['verdict'] == 'not-run'
            assert reply.headers['Foxtailreach-Verdict'] == 'not-run'
    assert not fleet.target.state.runs
    assert (await fleet.fetch('/open/x', headers={'X-Api-Key': ''})).code == 200


async def check_malformed_requests(fleet: Fleet) -> None:
    """Requests that could be read in two ways never reach the target."""
    key = f'X-Api-Key: {KEY}\r\nHost: h\r\n'
    cases = [
        'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        'Content-Length: -1\r\n\r\n',
    ]
    for framing in cases:
        request = f'POST /job/item HTTP/1.1\r\n{key}{framing}'
        reply = await fleet.raw(request.encode())
        assert not reply or reply.startswith(b'HTTP/1.1 400')
    assert not fleet.target.state.runs


async def check_bounded_connections(fleet: Fleet) -> None:
    """Connections, idle ones included, never exceed the target's slots."""
    for method, body in (('GET', None), ('POST', b'x')):
        for _ in range(30):
            assert (await fleet.fetch(method=method, body=body)).code == 200
        assert fleet.target.open_connections <= TARGET_SLOTS


async def check_lost_connection(fleet: Fleet) -> None:
    """A POST is not repeated when its connection is lost after it ran.

    The target closes the connection instead of answering, so the verdict is
    that the request may have run. An earlier request leaves a connection
    that the host could reuse.
    """
    await fleet.fetch()
    fleet.target.state.runs.clear()
    fleet.target.state.behaviour = replace(
        fleet.target.state.behaviour,
        close_after_run=True,
    )
    for host in fleet.hosts:
        reply = await fleet.fetch(host=host, method='POST', body=b'')
        refusal = json.loads(reply.body)
        assert refusal['verdict'] == 'may-have-run', refusal
        assert reply.code == 502
    assert len(fleet.target.state.runs) == len(fleet.hosts)


async def check_unreachable_target(fleet: Fleet) -> None:
    """A refused connection is reported as not run, also for a POST."""
    await fleet.target.stop()
    for host in fleet.hosts:
        reply = await fleet.fetch(host=host, method='POST', body=b'x')
        assert reply.code in {502, 503}
        assert json.loads(reply.body)['verdict'] == 'not-run'
    fleet.target.start()
    await wait_until_serving(fleet)


async def check_abandoned_request(fleet: Fleet) -> None:
    """The slot of a request is freed when its caller disconnects."""
    fleet.target.state.behaviour = replace(
        fleet.target.state.behaviour,
        is_hanging=True,
    )
    for host in fleet.hosts:
        reply = await fleet.fetch(host=host, request_timeout=0.3)
        assert reply.code == 599
    async with asyncio.timeout(5):
        while any(host.node.entry.pending for host in fleet.hosts.values()):
            await asyncio.sleep(0.02)
    owners = fleet.hosts['near'].node.ownership.pools.values()
    async with asyncio.timeout(5):
        while not all(owner.is_idle for owner in owners):
            await asyncio.sleep(0.02)


async def check_withdrawn_key(fleet: Fleet) -> None:
    """A withdrawn key is refused also on a connection that stays open."""
    reader, writer = await asyncio.open_connection(
        LOOPBACK,
        fleet.ports['far'],
    )
    request_text = (
        f'GET /job/item HTTP/1.1\r\nHost: h\r\nX-Api-Key: {KEY}\r\n\r\n'
    )

    async def status() -> bytes:
        writer.write(request_text.encode())
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().split(b'content-length: ')[1].split()[0])
        await reader.readexactly(length)
        return head.split()[1]

    assert await status() == b'200'
    await publish(fleet.platform, withdraw_key_edit('key'))
    async with asyncio.timeout(WAIT_LIMIT_S):
        while await status() != b'401':
            await asyncio.sleep(0.05)
    writer.close()


async def check_graceful_stop(fleet: Fleet) -> None:
    """Requests in flight at a stop are answered; then the hosts stop."""
    fleet.target.state.behaviour = replace(
        fleet.target.state.behaviour,
        service_ms=300,
    )
    replies = [
        asyncio.ensure_future(
            fleet.fetch(
                f'/open/{number}', host=host, headers={'X-Api-Key': ''}
            ),
        )
        for number in range(3)
        for host in fleet.hosts
    ]
    await asyncio.sleep(0.1)
    for name in ('far', 'near'):
        fleet.hosts[name].request_stop()
    for reply in await asyncio.gather(*replies):
        assert reply.code == 200
    await asyncio.wait_for(asyncio.gather(*fleet.tasks.values()), 10)
