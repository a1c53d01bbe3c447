"""Tells an outage of the platform's store from calls that one host failed.

Load pattern: while the store is away, the entries of targets expire although
the targets live; they are renewed shortly after its return. But the store may
also refuse some hosts for seconds and serve the targets meanwhile. Then an
entry that is gone means that its target has left. The log shows which it was:
targets write heartbeats to it whenever the store accepts them.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Iterable

from foxtailreach.core.dispatch.messages import KeyedRecord

# Heartbeats come at approximate intervals; the time that they account for may
# be off by this share.
HEARTBEAT_TOLERANCE = 0.1


class OutageDetector:
    """Compares the heartbeats in the log with the time since the last read."""

    __slots__ = ('_era', '_heartbeat_us', '_next_offset', '_read_us')

    def __init__(self, heartbeat_us: int) -> None:
        """Start without a read; targets write every `heartbeat_us`."""
        self._heartbeat_us = heartbeat_us
        self._era = 0
        self._next_offset = 0
        self._read_us = 0

    def record_read(self, next_offset: int, now_us: int, era: int = 0) -> None:
        """Record that a host of this domain has read up to an offset."""
        if (era, next_offset) >= (self._era, self._next_offset):
            self._era = era
            self._next_offset = next_offset
            self._read_us = now_us

    def was_away(
        self,
        records: Iterable[KeyedRecord],
        removed: int,
        next_offset: int,
        now_us: int,
        era: int = 0,
    ) -> bool:
        """Tell whether the store refused heartbeats since the last read.

        `records` are all records since then, or the newest of each key;
        `removed` keys were removed, by records below `next_offset`. Heartbeats
        of another era do not tell; what a restoration loses is retained anyway.
        """
        if era != self._era:
            return False
        elapsed_us = now_us - self._read_us
        if not self._read_us or elapsed_us <= self._heartbeat_us:
            return False
        appended = next_offset - self._next_offset - removed
        heartbeats = self._heartbeats_per_target(records, appended)
        silent_us = elapsed_us - heartbeats * self._heartbeat_us
        tolerance_us = HEARTBEAT_TOLERANCE * elapsed_us
        return silent_us > self._heartbeat_us + tolerance_us

    def _heartbeats_per_target(
        self, records: Iterable[KeyedRecord], appended: int
    ) -> float:
        """Return the median over the targets that wrote at all.

        Targets that crashed meanwhile must not look like an outage.
        """
        counts = Counter(
            record.key
            for record in records
            if record.payload and record.offset >= self._next_offset
        )
        if not counts:
            return 0
        # Above 1 if only the newest record of each key is known.
        records_per_known = max(1, appended / counts.total())
        return statistics.median(counts.values()) * records_per_known
