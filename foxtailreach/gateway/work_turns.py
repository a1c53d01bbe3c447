"""Shares the event loop between callers whose bytes take long to handle.

Load pattern: callers send many small parts, such as chunks of one byte or
headers of three, so that a few bytes take the time of a whole request.
"""

from __future__ import annotations

import asyncio

from foxtailreach.core.units import SECOND_US

# Chunks that are decoded at once.
PARTS_PER_STEP = 256
# A head with more lines waits for its turn.
FREE_HEAD_LINES = 128
# Twice what a chunk takes, which leaves most of the time to others.
REST_PER_PART_US = 8


class WorkTurns:
    """Lets one connection of a host at a time handle many small parts.

    `taken` counts the turns.
    """

    __slots__ = ('_lock', 'taken')

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._lock = asyncio.Lock()
        self.taken = 0

    async def wait(self, parts: int) -> None:
        """Wait until the caller may handle some parts without a pause.

        Waits longer for more parts; other tasks run meanwhile.
        """
        async with self._lock:
            self.taken += 1
            await asyncio.sleep(parts * REST_PER_PART_US / SECOND_US)
