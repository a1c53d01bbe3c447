"""Outages of the store, told from refused calls by heartbeats in the log."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.dispatch.outages import OutageDetector
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

HEARTBEAT_US = 1500 * MILLISECOND_US
TARGETS = 40
FIRST_OFFSET = 1000


@dataclass(slots=True, frozen=True)
class Gap:
    """What targets wrote between two reads of one host.

    `crashed` targets write nothing in the second half, `removed` entries
    expire at its end.
    """

    elapsed_s: float
    silent_s: float = 0
    heartbeat_s: float = 1.5
    crashed: int = 0
    removed: int = 0
    is_whole: bool = False

    def log(self) -> list[KeyedRecord]:
        """Return what the log gained in the order of time."""
        written: list[tuple[float, str]] = []
        for target in range(TARGETS):
            at_s = self.silent_s + self.heartbeat_s * target / TARGETS
            end_s = self.elapsed_s
            if target < self.crashed:
                end_s -= (self.elapsed_s - self.silent_s) / 2
            while at_s < end_s:
                written.append((at_s, f't{target}'))
                at_s += self.heartbeat_s
        keys = [key for _, key in sorted(written)]
        removals = [f'r{index}' for index in range(self.removed)]
        return [
            KeyedRecord(key, b'' if key[0] == 'r' else b'v', offset)
            for offset, key in enumerate([*keys, *removals], FIRST_OFFSET)
        ]


@pytest.mark.parametrize(
    ('gap', 'is_outage'),
    [
        (Gap(0.7), False),
        (Gap(1.4, silent_s=1.4), False),
        (Gap(2.1), False),
        (Gap(9), False),
        (Gap(9, is_whole=True), False),
        (Gap(9, heartbeat_s=1.6), False),
        (Gap(9, crashed=16), False),
        (Gap(9, crashed=16, removed=16), False),
        (Gap(9, crashed=16, removed=16, is_whole=True), False),
        (Gap(19), False),
        (Gap(5, silent_s=4.5), True),
        (Gap(5, silent_s=4.5, is_whole=True), True),
        (Gap(5, silent_s=4.5, removed=40), True),
        (Gap(5, silent_s=4.5, removed=40, is_whole=True), True),
        (Gap(9, silent_s=8.3, removed=40), True),
        (Gap(9, silent_s=9, removed=40), True),
        (Gap(19, silent_s=9, removed=20), True),
    ],
)
def test_only_missing_heartbeats_of_all_targets_show_an_outage(
    gap: Gap,
    is_outage: bool,  # noqa: FBT001
) -> None:
    detector = OutageDetector(HEARTBEAT_US)
    detector.record_read(FIRST_OFFSET, SECOND_US)
    log = gap.log()
    listed = log
    if gap.is_whole:
        newest = {record.key: record for record in log if record.payload}
        listed = list(newest.values())
    seen = detector.was_away(
        listed,
        gap.removed,
        FIRST_OFFSET + len(log),
        SECOND_US + int(gap.elapsed_s * SECOND_US),
    )
    assert seen == is_outage


def test_host_that_never_read_sees_no_outage() -> None:
    detector = OutageDetector(HEARTBEAT_US)
    assert not detector.was_away([], 0, FIRST_OFFSET, 20 * SECOND_US)


def test_read_of_another_host_of_the_domain_counts() -> None:
    """Its notice has the time and the offset of its read."""
    detector = OutageDetector(HEARTBEAT_US)
    detector.record_read(FIRST_OFFSET, SECOND_US)
    detector.record_read(FIRST_OFFSET + 500, 20 * SECOND_US)
    now_us = 21 * SECOND_US
    assert not detector.was_away([], 0, FIRST_OFFSET + 500, now_us)
