"""Which host of a failure domain reads the platform."""

from __future__ import annotations

from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fixtures import START_US
from foxtailreach.tests.dispatch.fleet_tests import create_fleet


def test_no_host_reads_after_the_reader_has_recovered() -> None:
    """Others defer to a host that tells them that it can read again."""
    fleet = create_fleet()
    first = min(
        fleet, key=lambda host_id: fleet[host_id].election.rank(START_US)
    )
    failed_us = START_US + SECOND_US
    now_us = failed_us + SECOND_US
    for node in fleet.values():
        node.election.record_notice(first, failed_us, is_reading=False)
    for host_id, node in fleet.items():
        if host_id == first:
            node.election.record_recovery(first)
        else:
            node.election.record_notice(first, now_us, is_reading=True)
    readers = [
        host_id
        for host_id, node in fleet.items()
        if not node.election.rank(now_us)
    ]
    assert readers == [first]
