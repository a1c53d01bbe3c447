"""The randomized soak, short in CI; see `--soak-seeds` for long runs."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from foxtailreach.tests.platform.end_to_end_tests import Fleet
from foxtailreach.tests.platform.fakes import Store
from foxtailreach.tests.platform.soak import Kill, Sent, Soak, run_soak

SEEDS_IN_CI = 3


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Run the seeds that were asked for."""
    seeds = metafunc.config.getoption('soak_seeds') or SEEDS_IN_CI
    if 'seed' in metafunc.fixturenames:
        metafunc.parametrize('seed', range(seeds))


def test_promises_hold_under_overlapping_faults(
    seed: int, tmp_path: Path, request: pytest.FixtureRequest
) -> None:
    hosts = request.config.getoption('soak_hosts')
    seconds = request.config.getoption('soak_seconds')
    assert not asyncio.run(run_soak(tmp_path, seed, hosts, seconds))


@pytest.mark.parametrize(
    ('sent_s', 'is_lost'),
    [
        # The host is killed at 10.0 s, started at 10.6 s and stopped at 10.9 s.
        (9.95, False),
        (10.0, False),
        (10.02, False),
        (10.61, True),
    ],
)
def test_soak_expects_no_answer_between_two_processes(
    sent_s: float, is_lost: bool
) -> None:
    """A request that no process has read is not lost by a planned stop."""
    fleet = Fleet(Store(), [], Path(), 0)
    soak = Soak(fleet, random.Random(1), 100)
    soak.kills.append(Kill('h1', 10.0, 10.6))
    soak.stops.append(('h1', 10.9))
    soak.sent.append(Sent('r1', 'h1', '/a/x', 'k1', sent_s))
    assert bool(soak.check()) is is_lost
