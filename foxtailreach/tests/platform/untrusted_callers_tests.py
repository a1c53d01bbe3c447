"""A host with callers that hold its memory and descriptors.

The host process must live, stay within the memory and the descriptors of its
settings, and answer one ordinary request afterwards. Times and shares of served
requests are not checked, as they depend on the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from foxtailreach.tests.platform import large_target
from foxtailreach.tests.platform.end_to_end_tests import (
    Fleet,
    configuration,
    start_fleet,
)
from foxtailreach.tests.platform.endless_answers_tests import (
    peak_memory_mb,
    put_target,
)

# 40 MiB are for bodies, 25 MiB for answers; the process itself takes 43 MB.
MEMORY_MB = 100
MAX_FDS = 300
LARGE_BYTES = 1_000_000
BODY_BYTES = 60_000
# 20 of them, held twice, fill the memory for bodies exactly.
LARGE_BODY_BYTES = 1_048_576
TARGETS = 4
OBSERVED_S = 8.0
# Until the host has noticed that its callers closed their connections.
SETTLE_S = 1.0
RECEIVE_BUFFER_BYTES = 4096
_IDS = itertools.count(1)

Caller = Callable[[Fleet, int], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Crowd:
    """Many callers of a kind, each of which repeats the same.

    With `stays`, they keep their connections during the ordinary request.
    """

    caller: Caller
    size: int
    stays: bool = False


def request_head(method: str, path: str, key: str, length: int) -> bytes:
    """Return the head of a request without a deadline."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
        f'X-Foxtailreach-Request-Id: u{next(_IDS)}\r\n'
        f'Authorization: Token {key}\r\nContent-Length: {length}\r\n\r\n'
    ).encode()


GET_LARGE = ('GET', '/safe/large', 'k1', 0)


@contextlib.asynccontextmanager
async def connected(
    fleet: Fleet,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect with a small receive buffer, so that reads set the pace."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, (fleet.address('h1'), fleet.port + 2))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=RECEIVE_BUFFER_BYTES
        )
        try:
            yield reader, writer
        finally:
            writer.transport.abort()
    finally:
        sock.close()


async def read_at(reader: asyncio.StreamReader, bytes_per_s: int) -> None:
    """Read until the end, in ten pieces a second."""
    while True:
        for _ in range(max(1, bytes_per_s // 10 // RECEIVE_BUFFER_BYTES)):
            if not await reader.read(min(bytes_per_s // 10, 65_536)):
                return
        await asyncio.sleep(0.1)


async def read_trickle(fleet: Fleet, _: int) -> None:
    """Read a large answer at 4 kB/s."""
    async with connected(fleet) as (reader, writer):
        writer.write(request_head(*GET_LARGE))
        await read_at(reader, 4000)


async def read_at_moderate_speed(fleet: Fleet, _: int) -> None:
    """Read large answers at 200 kB/s, one after the other."""
    async with connected(fleet) as (reader, writer):
        reading = asyncio.ensure_future(read_at(reader, 200_000))
        while not reading.done():
            writer.write(request_head(*GET_LARGE))
            await asyncio.wait((reading,), timeout=LARGE_BYTES / 200_000)


async def keep_after_answer(fleet: Fleet, _: int) -> None:
    """Read a large answer and keep the connection."""
    async with connected(fleet) as (reader, writer):
        writer.write(request_head(*GET_LARGE))
        while await reader.read(65_536):
            continue


async def keep_after_body(fleet: Fleet, _: int) -> None:
    """Send a large body, read the answer and keep the connection."""
    async with connected(fleet) as (reader, writer):
        writer.write(request_head('POST', '/a/x', 'k1', LARGE_BODY_BYTES))
        writer.write(b'b' * LARGE_BODY_BYTES)
        while await reader.read(65_536):
            continue


async def send_body_by_bytes(fleet: Fleet, _: int) -> None:
    """Send a large body byte by byte."""
    async with connected(fleet) as (_reader, writer):
        writer.write(request_head('POST', '/a/x', 'k1', LARGE_BODY_BYTES))
        while not writer.is_closing():
            writer.write(b'b')
            await asyncio.sleep(0.05)


async def leave_after_body(fleet: Fleet, _: int) -> None:
    """Close right after the last byte of a body."""
    reader, writer = await asyncio.open_connection(
        fleet.address('h1'), fleet.port + 2
    )
    del reader
    writer.write(request_head('POST', '/a/x', 'k1', BODY_BYTES))
    writer.write(b'b' * BODY_BYTES)
    writer.close()
    await writer.wait_closed()


async def send_body_without_key(fleet: Fleet, _: int) -> None:
    """Send a large body, except for its last byte, with an unknown key."""
    async with connected(fleet) as (reader, writer):
        writer.write(request_head('POST', '/a/x', 'nobody', LARGE_BODY_BYTES))
        writer.write(b'b' * (LARGE_BODY_BYTES - 1))
        await reader.read()


async def never_end_head(fleet: Fleet, _: int) -> None:
    """Send header after header."""
    async with connected(fleet) as (_reader, writer):
        writer.write(b'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n')
        while not writer.is_closing():
            writer.write(b'X-A: b\r\n')
            await asyncio.sleep(0.2)


async def stay_idle(fleet: Fleet, index: int) -> None:
    """Keep a connection without a request, or after one."""
    async with connected(fleet) as (reader, writer):
        if index % 2:
            writer.write(request_head('GET', '/safe/x', 'k1', 0))
        while await reader.read(65_536):
            continue


async def pipeline(fleet: Fleet, _: int) -> None:
    """Send many requests for large answers and read nothing."""
    async with connected(fleet) as (_reader, writer):
        for _request in range(32):
            writer.write(request_head(*GET_LARGE))
        await asyncio.sleep(OBSERVED_S)


async def reconnect(fleet: Fleet, _: int) -> None:
    """Request a large answer and leave."""
    async with connected(fleet) as (reader, writer):
        writer.write(request_head(*GET_LARGE))
        await reader.read(1)


CROWDS = {
    'trickle': Crowd(read_trickle, 60),
    'moderate': Crowd(read_at_moderate_speed, 60),
    'keep-answer': Crowd(keep_after_answer, 90),
    'keep-body': Crowd(keep_after_body, 90),
    'body-bytes': Crowd(send_body_by_bytes, 40, stays=True),
    'leave-after-body': Crowd(leave_after_body, 40),
    'no-key': Crowd(send_body_without_key, 40, stays=True),
    'endless-heads': Crowd(never_end_head, 320),
    'idle': Crowd(stay_idle, 320),
    'pipeline': Crowd(pipeline, 20),
    'reconnect': Crowd(reconnect, 60),
}


async def repeat(crowd: Crowd, fleet: Fleet, index: int) -> None:
    """Do the same again whenever the connection ends."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await crowd.caller(fleet, index)
        await asyncio.sleep(0.05)


async def most_descriptors(process_id: int, duration_s: float) -> int:
    """Return the most descriptors of a process in some time."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + duration_s
    most = 0
    while loop.time() < ends_s:
        most = max(most, len(list(Path(f'/proc/{process_id}/fd').iterdir())))
        await asyncio.sleep(0.05)
    return most


@contextlib.asynccontextmanager
async def target_process() -> AsyncIterator[int]:
    """Start a target with large answers; return its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        large_target.__file__,
        str(LARGE_BYTES),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        yield int(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


async def start_targets(fleet: Fleet, stack: contextlib.AsyncExitStack) -> None:
    """Replace the targets of a fleet by those with large answers."""
    for target in fleet.targets:
        await fleet.store.put('keyed.servers', target.target_id, None)
    for index in range(TARGETS):
        port = await stack.enter_async_context(target_process())
        await put_target(fleet, f'large{index}', 'stock', port)
    await fleet.store.put('keyed.op', 'config', configuration(2))
    await asyncio.sleep(2)


@pytest.mark.parametrize('kind', CROWDS)
def test_untrusted_callers_leave_a_host_within_its_limits(
    kind: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that ends or stalls through a kind of callers.

    Its memory, its descriptors or its memory for bodies were used up.
    """
    settings = Fleet.settings
    crowd = CROWDS[kind]

    def with_limits(fleet: Fleet, name: str) -> str:
        text = settings(fleet, name)
        limits = f'memory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n'
        return f'{text}\n[limits]\n{limits}'

    monkeypatch.setattr(Fleet, 'settings', with_limits)

    async def scenario(stack: contextlib.AsyncExitStack) -> None:
        fleet = await stack.enter_async_context(start_fleet(tmp_path, 1))
        await start_targets(fleet, stack)
        assert (await ordinary_request(fleet)).status == 200
        process = fleet.processes['h1']
        callers = [
            asyncio.ensure_future(repeat(crowd, fleet, index))
            for index in range(crowd.size)
        ]
        descriptors = await most_descriptors(process.pid, OBSERVED_S)
        if not crowd.stays:
            await stop(callers)
        answer = await ordinary_request(fleet)
        await stop(callers)
        memory_mb = peak_memory_mb(process.pid)
        print(f'{kind}: {memory_mb:.0f} MB, {descriptors} fds, {answer}')
        assert process.returncode is None
        assert memory_mb < MEMORY_MB
        assert descriptors < MAX_FDS
        assert answer.status == 200

    async def main() -> None:
        async with asyncio.timeout(60), contextlib.AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(main())


async def ordinary_request(fleet: Fleet) -> Any:
    """Send a request with a body within the limits."""
    return await fleet.request(
        'h1', '/a/x', method='POST', body=b'b' * BODY_BYTES
    )


async def stop(callers: list[asyncio.Task[None]]) -> None:
    """Let the callers leave."""
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    await asyncio.sleep(SETTLE_S)
