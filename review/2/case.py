"""Requests that take longer than the idle timeout of their connections.

An operator lowers `idle_timeout_ms` to 1 s with a new configuration. Long after
it is in force, clients send bookings of 1.4 s over connections that they keep.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

HOSTS = {'edge-a': 'north', 'edge-b': 'south', 'edge-c': 'east'}
# `hire-book` of the small deployment: timeout 2,500 ms, deadline 5,000 ms, work
# of up to 1,600 ms.
TIMEOUT_MS = 2500
DEADLINE_MS = 5000
WORK_S = 1.4
IDLE_MS = 1000
CALLERS_PER_HOST = 2
BOOKINGS = 3
# LOST allows three.
ALLOWED = 3


def work_s(request: kit.Message) -> float:
    """Return how long a back end works on a request."""
    return WORK_S if request.body == b'long' else 0.1


async def case(record: kit.Record) -> list[str]:
    """Run the case; return what broke the rule."""
    fleet = kit.Fleet(record, HOSTS)
    fleet.servers = [
        kit.Server(f'i-{number}', 'stock', zone, record, work_s=work_s)
        for number, zone in enumerate(list(HOSTS.values()) * 2)
    ]
    route = {'timeout_ms': TIMEOUT_MS}
    try:
        await fleet.open()
        first = kit.configuration(5, kind='unsafe', route=route)
        await fleet.store.put('keyed.op', 'config', first)
        for host in HOSTS:
            await fleet.start(host)
        for host in HOSTS:
            await fleet.wait_ready(host)
        await asyncio.sleep(5)
        limits = {'idle_timeout_ms': IDLE_MS if kit.TROUBLE else 15000}
        second = kit.configuration(
            9, kind='unsafe', route=route, limits=limits
        )
        await fleet.store.put('keyed.op', 'config', second)
        record.write(f'configuration 9 acknowledged: {limits}')
        # `config_apply_ms` is 2 s, and a configuration counts as planned work
        # until 1 s after it.
        await asyncio.sleep(5)
        await asyncio.gather(
            *(
                run_caller(fleet, host)
                for host in HOSTS
                for _ in range(CALLERS_PER_HOST)
            )
        )
        return judge(fleet)
    finally:
        await fleet.close()


async def run_caller(fleet: kit.Fleet, host: str) -> None:
    """Send bookings, each on a connection that has had a request before."""
    client = kit.Client(fleet, host)
    for _ in range(BOOKINGS):
        await client.send('/a/x', 'POST', deadline_ms=DEADLINE_MS, body=b'short')
        await client.send('/a/x', 'POST', deadline_ms=DEADLINE_MS, body=b'long')
    client.close()


def judge(fleet: kit.Fleet) -> list[str]:
    """Count the requests passed on whose connection ended without an answer."""
    runs = {
        run.request_id: run for server in fleet.servers for run in server.runs
    }
    lost = [
        sent
        for sent in fleet.sent
        if not sent.status and sent.request_id in runs
    ]
    for sent in lost:
        run = runs[sent.request_id]
        fleet.record.write(
            f'lost: {sent.request_id} run by {run.server} at {run.at_s:.3f} s, '
            f'connection closed after {sent.answered_s - sent.sent_s:.3f} s'
        )
    if len(lost) <= ALLOWED:
        return []
    return [f'LOST: {len(lost)} of {len(fleet.sent)} requests cut off']


if __name__ == '__main__':
    kit.run_case(FOLDER, case)
