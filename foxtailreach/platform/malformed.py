"""Counts and logs entries of the store that cannot be decoded."""

from __future__ import annotations

from collections import Counter

from loguru import logger

from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway.logs import IntervalLimiter

# Other writers may write an odd entry again with every heartbeat.
LOG_INTERVAL_US = 5 * SECOND_US


class MalformedEntries:
    """Number of malformed entries by topic; logs one in `LOG_INTERVAL_US`."""

    __slots__ = ('_lines', 'counts')

    def __init__(self) -> None:
        """Start with no entries counted."""
        self.counts: Counter[str] = Counter()
        self._lines = IntervalLimiter(LOG_INTERVAL_US)

    def record(self, topic: str, key: str, error: Exception) -> None:
        """Count an entry, and log it unless another one was just logged."""
        self.counts[topic] += 1
        if self._lines.allow():
            left_out = self._lines.take_left_out()
            logger.bind(topic=topic, key=key, lines_left_out=left_out).warning(
                'malformed entry skipped: {!r}', error
            )


MALFORMED = MalformedEntries()
