"""A tenant's limit after the loss of the host that meters it.

Before, one host leaves for good, and the host that meters the tenant from then
on is stopped and started again.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import kit  # noqa: E402

HOSTS = {
    f'edge-{zone}-{number}': zone
    for zone in ('north', 'south')
    for number in range(1, 5)
}
# Rank of the hosts for this tenant, by `rank_candidates`: REMOVED, METER,
# edge-north-4, edge-south-1. REMOVED is no neighbour of METER on the ring.
TENANT = 'tenant-8'
REMOVED = 'edge-south-4'
METER = 'edge-north-2'
RATE_PER_S, BURST, WINDOW_S = 21, 21, 5.0
# quota_overage and quota_slack.
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20
CALLERS_PER_HOST = 4
# `node_kill` in the site file.
DOWN_S = 3.5


async def case(record: kit.Record) -> list[str]:
    """Run the case; return what broke the rule."""
    fleet = kit.Fleet(record, HOSTS)
    fleet.servers = [
        kit.Server(
            f'i-{number}',
            'stock',
            zone,
            record,
            slots=4,
            work_s=lambda request: 0.05,
        )
        for number, zone in enumerate(('north', 'south') * 4)
    ]
    document = kit.configuration(5, keys={TENANT: ['k1']})
    for resource in document['resources']:
        if resource['resource_type'] == 'tenants':
            resource['spec'].update(rate_per_s=RATE_PER_S, burst=BURST)
    try:
        await fleet.open()
        await fleet.store.put('keyed.op', 'config', document)
        for host in HOSTS:
            await fleet.start(host)
        for host in HOSTS:
            await fleet.wait_ready(host)
        await asyncio.sleep(6)
        await fleet.stop(REMOVED)
        record.write(f'{REMOVED} is removed for good')
        await asyncio.sleep(6)
        await fleet.stop(METER)
        await fleet.start(METER)
        await fleet.wait_ready(METER)
        # Longer than the window and contact_ms.
        await asyncio.sleep(8)
        over = asyncio.Event()
        callers = [
            asyncio.ensure_future(run_caller(fleet, host, over))
            for host in HOSTS
            if host not in {REMOVED, METER}
            for _ in range(CALLERS_PER_HOST)
        ]
        await asyncio.sleep(8)
        if kit.TROUBLE:
            record.write(f'SIGKILL to {METER}')
            fleet.processes[METER].kill()
            await fleet.processes[METER].wait()
            await asyncio.sleep(DOWN_S)
            await fleet.start(METER)
        await asyncio.sleep(6)
        over.set()
        await asyncio.gather(*callers)
        return judge(fleet)
    finally:
        await fleet.close()


async def run_caller(
    fleet: kit.Fleet, host: str, over: asyncio.Event
) -> None:
    """Send requests of the tenant, far beyond its limit in sum."""
    client = kit.Client(fleet, host)
    while not over.is_set():
        await client.send('/a/x')
        await asyncio.sleep(0.2)
    client.close()


def judge(fleet: kit.Fleet) -> list[str]:
    """Count the requests that were sent and run within a sliding window."""
    sent_s = {sent.request_id: sent.sent_s for sent in fleet.sent}
    runs = sorted(
        (run.at_s, sent_s[run.request_id])
        for server in fleet.servers
        for run in server.runs
    )
    most, most_end_s = 0, 0.0
    for end_s, _ in runs:
        start_s = end_s - WINDOW_S
        count = sum(
            since_s > start_s and at_s <= end_s for at_s, since_s in runs
        )
        if count > most:
            most, most_end_s = count, end_s
    text = (
        f'{most} requests of {TENANT} run in the {WINDOW_S} s until '
        f'{most_end_s:.2f} s, {LIMIT:.1f} are allowed'
    )
    fleet.record.write(text)
    return [f'QUOTA: {text}'] if most > LIMIT else []


if __name__ == '__main__':
    kit.run_case(FOLDER, case)
