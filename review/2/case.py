"""A key is withdrawn while the store turns one host away.

Before, a zone is evacuated, the configuration changes, and that host is stopped
and started again. Its peers have the new configuration all the time.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

HOSTS = {'edge-a': 'north', 'edge-b': 'south', 'edge-c': 'east'}
TURNED_AWAY = 'edge-a'
# `platform_down` with `how = "nodes ... revoke"` in the site file: a share of
# 0.33 of the machines, for 9 s.
TURNED_AWAY_S = 9.0
# config_apply_ms and max_stretch_ms.
BOUND_S = 2.0 + 5.0
ROUTE = {'timeout_ms': 2000}


async def case(record: kit.Record) -> list[str]:
    """Run the case; return what broke the rule."""
    fleet = kit.Fleet(record, HOSTS)
    fleet.servers = [
        kit.Server(f'i-{number}', 'stock', zone, record)
        for number, zone in enumerate(list(HOSTS.values()) * 2)
    ]
    both = {'tenant-1': ['k1'], 'tenant-2': ['k2']}
    put = fleet.store.put
    try:
        await fleet.open()
        await put('keyed.op', 'config', kit.configuration(5, keys=both))
        for host in HOSTS:
            await fleet.start(host)
        for host in HOSTS:
            await fleet.wait_ready(host)
        await asyncio.sleep(3)
        await put('keyed.op', 'evacuate/east', {})
        record.write('the zone east is evacuated')
        await asyncio.sleep(2)
        second = kit.configuration(6, keys=both, route=ROUTE)
        await put('keyed.op', 'config', second)
        record.write('configuration 6 acknowledged')
        await asyncio.sleep(3)
        await fleet.stop(TURNED_AWAY)
        await fleet.start(TURNED_AWAY)
        await fleet.wait_ready(TURNED_AWAY)
        # Longer than contact_ms.
        await asyncio.sleep(5)
        start_s = record.now()
        await turn_away(fleet)
        third = kit.configuration(
            9, keys={'tenant-1': ['k1'], 'tenant-2': []}, route=ROUTE
        )
        ack_s = await put('keyed.op', 'config', third)
        record.write('configuration 9 acknowledged: the key k2 is withdrawn')
        end_s = start_s + TURNED_AWAY_S
        await asyncio.gather(
            *(run_caller(fleet, host, end_s) for host in HOSTS)
        )
        fleet.store.denied.clear()
        return judge(fleet, ack_s)
    finally:
        await fleet.close()


async def turn_away(fleet: kit.Fleet) -> None:
    """Turn the host away, and wait until its last call before is over."""
    if not kit.TROUBLE:
        return
    fleet.store.denied[TURNED_AWAY] = 503
    fleet.record.write(f'the store turns {TURNED_AWAY} away from now on')
    while fleet.store.turned_away.get(TURNED_AWAY, 0) < 2:
        await asyncio.sleep(0.02)


async def run_caller(fleet: kit.Fleet, host: str, end_s: float) -> None:
    """Send requests with the withdrawn key."""
    client = kit.Client(fleet, host)
    while fleet.record.now() < end_s - 0.2:
        await client.send('/a/x', key='k2')
        await asyncio.sleep(0.1)
    client.close()


def judge(fleet: kit.Fleet, ack_s: float) -> list[str]:
    """Find requests with the withdrawn key that ran later than the bound."""
    ran = {
        run.request_id for server in fleet.servers for run in server.runs
    }
    late = [
        sent
        for sent in fleet.sent
        if sent.sent_s > ack_s + BOUND_S and sent.request_id in ran
    ]
    for sent in late:
        fleet.record.write(
            f'late: {sent.request_id} sent to {sent.host} '
            f'{sent.sent_s - ack_s:.3f} s after the acknowledgement, and run'
        )
    if not late:
        return []
    return [f'CONFIG: {len(late)} requests run with a withdrawn key']


if __name__ == '__main__':
    kit.run_case(FOLDER, case)
