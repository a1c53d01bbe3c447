"""Measures the work that arrives at a service by priority.

Load pattern: for some seconds, requests of higher priority take most of the
slots. A request that only the work ahead of it would not delay too long then
waits until its deadline, because more work arrives ahead of it all the time.
"""

from __future__ import annotations

import math

from foxtailreach.core.units import SECOND_US

# The rate follows a change within about this time; bursts last for seconds.
AVERAGE_US = SECOND_US
# A burst may end before the deadline of the request, so that some of the slots
# are always expected to be left to it.
MIN_ROOM_SHARE = 0.25

# Whether a request is surplus to a limit, and its priority.
ArrivalRank = tuple[int, int]


class Inflow:
    """The recent rate of admitted work, in slots that it keeps busy."""

    __slots__ = ('_updated_us', '_work_us')

    def __init__(self, now_us: int) -> None:
        """Create a record without work."""
        self._work_us: dict[ArrivalRank, float] = {}
        self._updated_us = now_us

    def add(self, rank: ArrivalRank, work_us: int, now_us: int) -> None:
        """Record the work of an admitted request."""
        elapsed_us = max(0, now_us - self._updated_us)
        if elapsed_us:
            factor = math.exp(-elapsed_us / AVERAGE_US)
            for known in self._work_us:
                self._work_us[known] *= factor
            self._updated_us = now_us
        self._work_us[rank] = self._work_us.get(rank, 0) + work_us

    def slots(self, now_us: int) -> float:
        """Return the slots that the work of the last second keeps busy."""
        factor = math.exp(-max(0, now_us - self._updated_us) / AVERAGE_US)
        return factor * sum(self._work_us.values()) / AVERAGE_US

    def room_left(self, room: int, before: ArrivalRank, now_us: int) -> float:
        """Return the slots that are left after all work before a rank."""
        factor = math.exp(-max(0, now_us - self._updated_us) / AVERAGE_US)
        arriving_us = sum(
            work_us for rank, work_us in self._work_us.items() if rank < before
        )
        left = room - factor * arriving_us / AVERAGE_US
        return max(MIN_ROOM_SHARE * room, left)
