"""A host with callers that make it hold much, or work much for each byte.

The callers of `untrusted_callers_tests` hold a connection, a body or an answer.
Those here send requests ahead, use many small parts, or mix with others. The
checks are the same: the process lives, its memory and descriptors stay within
its settings, and an ordinary request is answered, mostly while callers stay.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
from collections.abc import AsyncIterator, Iterable
from pathlib import Path
from typing import Any

import pytest

from foxtailreach.tests.platform.end_to_end_tests import (
    Fleet,
    configuration,
    start_fleet,
)
from foxtailreach.tests.platform.endless_answers_tests import (
    peak_memory_mb,
    put_target,
)
from foxtailreach.tests.platform.untrusted_callers_tests import (
    LARGE_BODY_BYTES,
    LARGE_BYTES,
    MAX_FDS,
    MEMORY_MB,
    OBSERVED_S,
    Caller,
    Crowd,
    connected,
    most_descriptors,
    ordinary_request,
    repeat,
    request_head,
    stop,
    target_process,
)

CROWD_KEY = 'crowd'
CROWD_SERVICE = 'crowded'
TARGETS_PER_SERVICE = 2
# More than a host has descriptors, so that most requests of a crowd run.
SLOTS = 400
# Within `max_header_bytes`, 16,384.
COOKIE = b'Cookie: session=' + b'c' * 12_000 + b'\r\n'
# Each counts five bytes.
TINY_HEADERS = b'a:\r\n' * 3000
SLASHES = '/' * 15_000
TINY_CHUNKS = b'1\r\nb\r\n' * 10_000
TINY_TRAILERS = b'1\r\nb\r\n0\r\n' + b'a:\r\n' * 3000 + b'\r\n'
LONG_EXTENSIONS = (b'1;' + b'e' * 8000 + b'\r\nb\r\n') * 10
PERCENTS = '%61' * 5000
BODY_AHEAD_BYTES = 30_000
REQUESTS_AHEAD = 18
# Their answers are less than half of the memory for answers.
DOWNLOADS = 8
# All connections that a host with so many descriptors admits are 75.
CALLERS = 70
BUSY_CALLERS = 40


def head(
    path: str, extra: bytes = b'', key: str = CROWD_KEY, method: str = 'GET'
) -> bytes:
    """Return the head of a request without a body, or with an open end."""
    start = request_head(method, path, key, 0)
    start = start.replace(b'Content-Length: 0\r\n\r\n', extra + b'\r\n')
    return start.replace(b'Request-Id: u', b'Request-Id: c')


async def send_ahead(
    requests: Iterable[bytes], fleet: Fleet, _: int, *, reads: bool = True
) -> None:
    """Send requests without waiting; read the answers or leave them."""
    async with connected(fleet) as (reader, writer):
        reading = asyncio.ensure_future(
            read_all(reader) if reads else asyncio.sleep(OBSERVED_S)
        )
        try:
            for one in requests:
                if reading.done():
                    return
                writer.write(one)
                await writer.drain()
        finally:
            reading.cancel()


async def read_all(reader: asyncio.StreamReader) -> None:
    """Read until the end."""
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            continue


def ahead(path: str, *, extra: bytes = b'', **fields: Any) -> Caller:
    """Return a caller that sends the same request without end."""
    reads = fields.pop('reads', True)
    one = head(path, extra, **fields)
    return functools.partial(send_ahead, itertools.repeat(one), reads=reads)


def chunked(
    path: str, key: str = CROWD_KEY, chunks: bytes = TINY_CHUNKS
) -> Caller:
    """Return a caller that sends a body in chunks of one byte."""
    start = head(path, b'Transfer-Encoding: chunked\r\n', key, 'POST')

    async def send(fleet: Fleet, index: int) -> None:
        parts = itertools.chain((start,), itertools.repeat(chunks))
        await send_ahead(parts, fleet, index)

    return send


async def read_slowly(path: str, fleet: Fleet, _: int) -> None:
    """Read answers at 50 kB/s, one after the other."""
    async with connected(fleet) as (reader, writer):
        while True:
            writer.write(head(path))
            for _piece in range(100):
                if not await reader.read(4096):
                    return
                await asyncio.sleep(0.08)


async def send_body_ahead(fleet: Fleet, index: int) -> None:
    """Send requests with bodies ahead and read nothing."""
    body = b'b' * BODY_AHEAD_BYTES
    length = f'Content-Length: {len(body)}\r\n'.encode()
    one = head('/safe/slow', length, method='POST') + body
    await send_ahead(itertools.repeat(one), fleet, index, reads=False)


async def leave_ahead(fleet: Fleet, _: int) -> None:
    """Send some requests ahead, and leave after the first answer."""
    async with connected(fleet) as (reader, writer):
        writer.write(head('/safe/medium', COOKIE) * REQUESTS_AHEAD)
        await reader.read(1)


async def send_slow_body(fleet: Fleet, _: int) -> None:
    """Send most of a large body at once, and the rest byte by byte."""
    async with connected(fleet) as (_reader, writer):
        writer.write(
            request_head('POST', '/safe/x', CROWD_KEY, LARGE_BODY_BYTES)
        )
        writer.write(b'b' * (LARGE_BODY_BYTES * 3 // 4))
        while not writer.is_closing():
            writer.write(b'b')
            await asyncio.sleep(0.05)


def in_turn(*callers: Caller) -> Caller:
    """Return a caller that behaves as one of several, by its index."""

    async def call(fleet: Fleet, index: int) -> None:
        await callers[index % len(callers)](fleet, index)

    return call


def slow_reader(path: str) -> Caller:
    """Return a caller that reads answers of a kind slowly."""
    return functools.partial(read_slowly, path)


HOLDING: dict[str, Caller] = {
    'ahead-read': ahead('/safe/slow', extra=COOKIE),
    'ahead-unread': ahead('/safe/slow', extra=COOKIE, reads=False),
    'ahead-medium': ahead('/safe/medium', reads=False),
    'ahead-large': ahead('/safe/large', extra=COOKIE, reads=False),
    'ahead-bodies': send_body_ahead,
    'ahead-headers': ahead('/safe/slow', extra=TINY_HEADERS, reads=False),
    'ahead-leave': leave_ahead,
    'slow-chunks': slow_reader('/safe/large-chunks'),
    'slow-length': slow_reader('/safe/large'),
    'slow-unframed': slow_reader('/safe/large-unframed'),
}
WORKING: dict[str, Caller] = {
    'tiny-chunks': chunked('/safe/x'),
    'tiny-chunks-no-route': chunked('/none/x'),
    'tiny-chunks-no-key': chunked('/safe/x', 'nobody'),
    'long-extensions': chunked('/safe/x', chunks=LONG_EXTENSIONS),
    'tiny-trailers': ahead(
        '/safe/x',
        extra=b'Transfer-Encoding: chunked\r\n\r\n' + TINY_TRAILERS[:-2],
        method='POST',
    ),
    'percents': ahead(f'/safe/{PERCENTS}'),
    'tiny-headers': ahead('/safe/x', extra=TINY_HEADERS),
    'tiny-headers-no-key': ahead('/safe/x', extra=TINY_HEADERS, key='nobody'),
    'slashes': ahead(f'/safe/{SLASHES}'),
    'slashes-no-route': ahead(f'/none{SLASHES}x'),
}
MIXED: dict[str, Caller] = {
    'mixed-holding': in_turn(
        send_slow_body,
        slow_reader('/safe/large'),
        ahead('/safe/slow', extra=COOKIE, reads=False),
        send_body_ahead,
    ),
    'mixed-sizes': in_turn(
        slow_reader('/safe/large-chunks'),
        slow_reader('/safe/medium-unframed'),
        slow_reader('/safe/large'),
        ahead('/safe/medium', reads=False),
    ),
    'mixed-all': in_turn(*HOLDING.values(), *WORKING.values(), send_slow_body),
}
CROWDS = {
    **{kind: Crowd(one, CALLERS, stays=True) for kind, one in HOLDING.items()},
    **{
        kind: Crowd(one, BUSY_CALLERS, stays=True)
        for kind, one in WORKING.items()
    },
    **{kind: Crowd(one, CALLERS, stays=True) for kind, one in MIXED.items()},
    # They come back faster than a host can serve them.
    'ahead-left': Crowd(leave_ahead, CALLERS),
}


def with_crowded_service() -> dict[str, Any]:
    """Return a configuration that keeps the crowd apart from others.

    It has a customer without a limit and a service of its own.
    """
    document = configuration(2)
    resources = document['resources']
    resources[1]['spec']['service'] = CROWD_SERVICE
    resources.append(
        {
            'resource_type': 'services',
            'metadata': {'name': CROWD_SERVICE},
            'spec': {},
        }
    )
    resources.append(
        {
            'resource_type': 'tenants',
            'metadata': {'name': 'crowd'},
            'spec': {'api_keys': [CROWD_KEY], 'priority': 0},
        }
    )
    return document


async def start_targets(fleet: Fleet, stack: contextlib.AsyncExitStack) -> None:
    """Replace the targets of a fleet by those of two services."""
    for target in fleet.targets:
        await fleet.store.put('keyed.servers', target.target_id, None)
    for service in ('stock', CROWD_SERVICE):
        for index in range(TARGETS_PER_SERVICE):
            port = await stack.enter_async_context(target_process())
            await put_target(fleet, f'{service}{index}', service, port, SLOTS)
    await fleet.store.put('keyed.op', 'config', with_crowded_service())
    await asyncio.sleep(2)


@pytest.fixture
def limited_hosts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give hosts few descriptors and little memory."""
    settings = Fleet.settings

    def with_limits(fleet: Fleet, name: str) -> str:
        text = settings(fleet, name)
        limits = f'memory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n'
        return f'{text}\n[limits]\n{limits}'

    monkeypatch.setattr(Fleet, 'settings', with_limits)


@contextlib.asynccontextmanager
async def host_with_crowd(
    folder: Path, crowd: Crowd
) -> AsyncIterator[tuple[Fleet, list[asyncio.Task[None]]]]:
    """Start a host, two services, and then a crowd."""
    async with asyncio.timeout(60), contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(start_fleet(folder, 1))
        await start_targets(fleet, stack)
        assert (await ordinary_request(fleet)).status == 200
        callers = [
            asyncio.ensure_future(repeat(crowd, fleet, index))
            for index in range(crowd.size)
        ]
        yield fleet, callers


@pytest.mark.usefixtures('limited_hosts')
@pytest.mark.parametrize('kind', CROWDS)
def test_crowd_leaves_a_host_within_its_limits(
    kind: str, tmp_path: Path
) -> None:
    """Guards against a host that ends or hangs through a crowd of callers."""

    async def main() -> None:
        async with host_with_crowd(tmp_path, CROWDS[kind]) as (fleet, callers):
            process = fleet.processes['h1']
            descriptors = await most_descriptors(process.pid, OBSERVED_S)
            if not CROWDS[kind].stays:
                await stop(callers)
            answer = await ordinary_request(fleet)
            await stop(callers)
            memory_mb = peak_memory_mb(process.pid)
            print(f'{kind}: {memory_mb:.0f} MB, {descriptors} fds, {answer}')
            assert process.returncode is None
            assert memory_mb < MEMORY_MB
            assert descriptors < MAX_FDS
            assert answer.status == 200

    asyncio.run(main())


@pytest.mark.usefixtures('limited_hosts')
@pytest.mark.parametrize('kind', ['slow-chunks', 'slow-length'])
def test_downloads_of_others_are_whole_beside_slow_readers(
    kind: str, tmp_path: Path
) -> None:
    """Guards against answers that are given up for those of slow readers."""

    async def main() -> None:
        async with host_with_crowd(tmp_path, CROWDS[kind]) as (fleet, callers):
            await asyncio.sleep(OBSERVED_S)
            answers = await asyncio.gather(
                *(
                    fleet.request('h1', '/a/large', method='POST', body=b'b')
                    for _ in range(DOWNLOADS)
                )
            )
            await stop(callers)
            seen = [(one.status, len(one.body)) for one in answers]
            print(kind, seen)
            assert seen == [(200, LARGE_BYTES)] * DOWNLOADS

    asyncio.run(main())
