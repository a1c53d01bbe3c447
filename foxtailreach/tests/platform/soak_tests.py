"""The randomized soak, short in CI; see `--soak-seeds` for long runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from foxtailreach.tests.platform.soak import run_soak

SEEDS_IN_CI = 3


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Run the seeds that were asked for."""
    seeds = metafunc.config.getoption('soak_seeds') or SEEDS_IN_CI
    metafunc.parametrize('seed', range(seeds))


def test_promises_hold_under_overlapping_faults(
    seed: int, tmp_path: Path, request: pytest.FixtureRequest
) -> None:
    hosts = request.config.getoption('soak_hosts')
    seconds = request.config.getoption('soak_seconds')
    assert not asyncio.run(run_soak(tmp_path, seed, hosts, seconds))
