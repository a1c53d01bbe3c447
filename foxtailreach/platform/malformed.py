"""Counts and logs entries of the store that cannot be decoded."""

from __future__ import annotations

from collections import Counter

from loguru import logger

from foxtailreach.core.units import SECOND_US
from foxtailreach.daemon.clock import boot_time_us

# Other writers may write an odd entry again with every heartbeat.
LOG_INTERVAL_US = 5 * SECOND_US


class MalformedEntries:
    """Number of malformed entries by topic; logs one in `LOG_INTERVAL_US`."""

    __slots__ = ('_last_logged_us', '_left_out', 'counts')

    def __init__(self) -> None:
        """Start with no entries counted."""
        self.counts: Counter[str] = Counter()
        self._last_logged_us = -LOG_INTERVAL_US
        self._left_out = 0

    def record(self, topic: str, key: str, error: Exception) -> None:
        """Count an entry, and log it unless another one was just logged."""
        self.counts[topic] += 1
        now_us = boot_time_us()
        if now_us - self._last_logged_us < LOG_INTERVAL_US:
            self._left_out += 1
            return
        logger.bind(
            topic=topic, key=key, lines_left_out=self._left_out
        ).warning('malformed entry skipped: {!r}', error)
        self._last_logged_us = now_us
        self._left_out = 0


MALFORMED = MalformedEntries()
