"""A key is withdrawn long after one host has stood still for 1.25 s.

Before, a zone is evacuated for 8 s; meanwhile the configuration changes, and the
host of that zone is stopped and started again. Then the host of the other zone
that reads the store stands still for a moment. After that nothing is disturbed
any more.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

LONE = 'edge-south-1'
HOSTS = {f'edge-north-{number}': 'north' for number in range(1, 7)}
HOSTS[LONE] = 'south'
TOPIC = 'keyed.op'
# `evacuate` in the site file.
EVACUATED_S = 8.0
FREEZE_S = 1.25
# Longer than contact_ms and max_stretch_ms.
CALM_S = 9.0
# config_apply_ms.
BOUND_S = 2.0
OBSERVED_S = 20.0
ROUTE = {'timeout_ms': 2000}


async def case(record: kit.Record) -> list[str]:
    """Run the case; return what broke the rule."""
    fleet = kit.Fleet(record, HOSTS)
    fleet.servers = [
        kit.Server(f'i-{number}', 'stock', zone, record)
        for number, zone in enumerate(('north', 'south') * 3)
    ]
    both = {'tenant-1': ['k1'], 'tenant-2': ['k2']}
    put = fleet.store.put
    try:
        await fleet.open()
        await put(TOPIC, 'config', kit.configuration(5, keys=both))
        for host in HOSTS:
            await fleet.start(host)
        for host in HOSTS:
            await fleet.wait_ready(host)
        await asyncio.sleep(4)
        start_s = record.now()
        await put(TOPIC, 'evacuate/south', {})
        record.write('the zone south is evacuated')
        await asyncio.sleep(1)
        second = kit.configuration(6, keys=both, route=ROUTE)
        await put(TOPIC, 'config', second)
        record.write('configuration 6 acknowledged')
        await asyncio.sleep(0.5)
        await fleet.stop(LONE)
        await fleet.start(LONE)
        await fleet.wait_ready(LONE)
        await asyncio.sleep(max(0, start_s + EVACUATED_S - record.now()))
        await put(TOPIC, 'evacuate/south', None)
        record.write('the zone south is taken back')
        await asyncio.sleep(5)
        if kit.TROUBLE:
            await freeze_reader(fleet)
        await asyncio.sleep(CALM_S)
        third = kit.configuration(
            9, keys={'tenant-1': ['k1'], 'tenant-2': []}, route=ROUTE
        )
        ack_s = await put(TOPIC, 'config', third)
        record.write('configuration 9 acknowledged: the key k2 is withdrawn')
        await asyncio.gather(
            *(run_caller(fleet, host, ack_s + OBSERVED_S) for host in HOSTS)
        )
        return judge(fleet, ack_s)
    finally:
        await fleet.close()


async def freeze_reader(fleet: kit.Fleet) -> None:
    """Stop the host that reads the store for the zone north, then go on.

    It is stopped just after it has read the operator's topic.
    """
    known_s, _ = last_read(fleet)
    while last_read(fleet)[0] == known_s:
        await asyncio.sleep(0.002)
    await asyncio.sleep(0.08)
    _, reader = last_read(fleet)
    process = fleet.processes[reader]
    fleet.record.write(f'SIGSTOP to {reader}')
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
    fleet.record.write(f'SIGCONT to {reader}')


def last_read(fleet: kit.Fleet) -> tuple[float, str]:
    """Return when a host of the zone north last read the topic, and which."""
    return max(
        (read_s, host)
        for (host, topic), read_s in fleet.store.read_s.items()
        if topic == TOPIC and HOSTS[host] == 'north'
    )


async def run_caller(fleet: kit.Fleet, host: str, end_s: float) -> None:
    """Send requests with the withdrawn key."""
    client = kit.Client(fleet, host)
    while fleet.record.now() < end_s:
        await client.send('/a/x', key='k2')
        await asyncio.sleep(0.5)
    client.close()


def judge(fleet: kit.Fleet, ack_s: float) -> list[str]:
    """Find requests with the withdrawn key that ran later than the bound."""
    ran = {run.request_id for server in fleet.servers for run in server.runs}
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
    hosts = sorted({sent.host for sent in late})
    last_s = max(sent.sent_s for sent in late) - ack_s
    return [
        f'CONFIG: {len(late)} requests run with a withdrawn key by '
        f'{len(hosts)} of {len(HOSTS)} hosts, until {last_s:.1f} s after the '
        'acknowledgement'
    ]


if __name__ == '__main__':
    kit.run_case(FOLDER, case)
