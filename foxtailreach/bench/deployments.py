"""Simulated fleets with the demo's configurations, and load for them."""

from __future__ import annotations

import hashlib
import random
from pathlib import Path

from foxtailreach.bench.fleet import Fleet
from foxtailreach.config.files import read_change_set
from foxtailreach.config.objects import Objects
from foxtailreach.core.units import SECOND_US

HOSTS = 40
WARM_UP_US = 4 * SECOND_US
_DEMO_DIR = Path(__file__).parent.parent / 'demo'


def load_deployment(name: str) -> Objects:
    """Read one of the demo's configurations."""
    return read_change_set([_DEMO_DIR / f'{name}.toml'], 'initial', 0).upserts


def start_fleet(objects: Objects, seed: int, hosts: int = HOSTS) -> Fleet:
    """Start a fleet and run it until targets are warm and pools have owners."""
    fleet = Fleet(objects, seed)
    fleet.add_hosts(hosts)
    fleet.run_until(WARM_UP_US)
    return fleet


def key_of(customer: str) -> str:
    """Return the API key that the demo gives a customer."""
    return f'demo-key-{customer}'


def digest_of(key: str) -> str:
    """Return the SHA-256 digest that a configuration holds for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def offer_load(
    fleet: Fleet,
    path: str,
    key: str,
    rate_per_s: float,
    until_us: int,
    post_ratio: float = 0,
) -> None:
    """Schedule Poisson arrivals at random hosts until `until_us`."""
    rng = random.Random(fleet.rng.getrandbits(32))

    def arrive() -> None:
        hosts = fleet.entry_hosts
        method = 'POST' if rng.random() < post_ratio else 'GET'
        fleet.request(rng.choice(hosts), key, path, method)
        schedule()

    def schedule() -> None:
        when_us = fleet.now_us + rng.expovariate(rate_per_s) * SECOND_US
        if when_us < until_us:
            fleet.at(int(when_us), arrive)

    schedule()
