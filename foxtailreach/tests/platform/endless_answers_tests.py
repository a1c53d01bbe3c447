"""A host whose targets answer many requests at once without end."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from foxtailreach.tests.platform import endless_target
from foxtailreach.tests.platform.end_to_end_tests import (
    Fleet,
    configuration,
    start_fleet,
)

MEMORY_MB = 200
CALLERS = 80
ENDLESS_TARGETS = 4
OBSERVED_S = 8.0
# Between the requests of the caller of the sound service.
PAUSE_S = 0.1
# The objective of a route that states none.
OBJECTIVE_S = 1.0
# A host that is busy with them opens a listener late.
START_S = 0.5


@contextlib.asynccontextmanager
async def target_process(kind: str) -> AsyncIterator[int]:
    """Start a target of one kind; return its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        endless_target.__file__,
        kind,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        yield int(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


def two_services() -> dict[str, Any]:
    """Return a configuration whose second route leads to another service."""
    document = configuration(2)
    resources = document['resources']
    resources[1]['spec']['service'] = 'sound'
    resources.append(
        {
            'resource_type': 'services',
            'metadata': {'name': 'sound'},
            'spec': {},
        }
    )
    return document


def peak_memory_mb(process_id: int) -> float:
    """Return the most memory that a process has held."""
    status = Path(f'/proc/{process_id}/status').read_text()
    (line,) = (one for one in status.splitlines() if one.startswith('VmHWM'))
    return int(line.split()[1]) / 1024


async def put_target(
    fleet: Fleet, name: str, service: str, port: int, slots: int = 20
) -> None:
    """List a target with many slots, in place of one of the fleet."""
    entry = {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': 'north',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 1,
        'born': 1_700_000_000_000,
    }
    await fleet.store.put('keyed.servers', name, entry)


async def call_endless(fleet: Fleet) -> None:
    """Send requests that get no end of an answer."""
    while True:
        with contextlib.suppress(OSError):
            await fleet.request('h1', '/a/x', method='POST', body=b'b')
        await asyncio.sleep(PAUSE_S)


async def call_sound(fleet: Fleet) -> list[float]:
    """Send requests to the sound service; return how long each took."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + OBSERVED_S
    took_s = []
    while loop.time() < ends_s:
        started_s = loop.time()
        answer = await fleet.request('h1', '/safe/x')
        assert answer.status == 200
        took_s.append(loop.time() - started_s)
        await asyncio.sleep(PAUSE_S)
    return took_s


@pytest.mark.parametrize('kind', sorted(endless_target.ANSWERS))
def test_endless_answers_leave_a_host_memory_and_time(
    kind: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that keeps endless answers until it is killed.

    Also against one that does nothing but parse them (issue 38).
    """
    settings = Fleet.settings

    def with_limits(fleet: Fleet, name: str) -> str:
        text = settings(fleet, name)
        return f'{text}\n[limits]\nmemory_mb = {MEMORY_MB}\n'

    monkeypatch.setattr(Fleet, 'settings', with_limits)

    async def scenario(stack: contextlib.AsyncExitStack) -> None:
        fleet = await stack.enter_async_context(start_fleet(tmp_path, 1))
        for target in fleet.targets:
            await fleet.store.put('keyed.servers', target.target_id, None)
        port = await stack.enter_async_context(target_process('small'))
        await put_target(fleet, 'sound', 'sound', port)
        port = await stack.enter_async_context(target_process(kind))
        for index in range(ENDLESS_TARGETS):
            await put_target(fleet, f'endless{index}', 'stock', port)
        await fleet.store.put('keyed.op', 'config', two_services())
        await asyncio.sleep(2)
        callers = [
            asyncio.ensure_future(call_endless(fleet)) for _ in range(CALLERS)
        ]
        await asyncio.sleep(START_S)
        took_s = await call_sound(fleet)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        process = fleet.processes['h1']
        assert process.returncode is None
        assert peak_memory_mb(process.pid) < MEMORY_MB
        assert max(took_s) < OBJECTIVE_S

    async def main() -> None:
        async with asyncio.timeout(60), contextlib.AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(main())
