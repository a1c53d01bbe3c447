"""Schedules when refused callers return.

Load pattern: more requests than slots for some seconds. Callers that are all
told the same time return together and find no slot again, so each refused
request gets its own place, in the order of refusals, at a time when the work
ahead of it has drained.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from foxtailreach.core.units import MILLISECOND_US, SECOND_US

MIN_RETRY_AFTER_US = 200 * MILLISECOND_US
MAX_RETRY_AFTER_US = 5 * SECOND_US
# The schedule bounds the returns in each interval of this length.
INTERVAL_US = 100 * MILLISECOND_US
# Callers honor Retry-After up to this share of their remaining time.
PATIENCE_SHARE = 1 / 3
# Share of the slots for returns of each rank. New work of better ranks may take
# all slots now, but a burst may be over when the callers return.
MIN_RETURN_SHARE = 0.25
# Callers with the longest Retry-After return within this share of it.
MAX_SPREAD = 0.1
# Places of the past are dropped once there are those of more ranks.
MAX_RANKS = 64

# Whether a request is surplus to a limit, and its priority.
ReturnRank = tuple[bool, int]


@dataclass(slots=True, frozen=True)
class ReturnRequest:
    """A refused request, and the state of the queue that it would enter.

    `wait_us` is the time until the work ahead of it has drained. Of the `room`
    slots that drain it, `room_left` are not needed for new work of better
    ranks.
    """

    rank: ReturnRank
    work_us: int
    wait_us: int
    time_left_us: int
    room: int
    room_left: float

    @property
    def patience_us(self) -> int:
        """The longest Retry-After that the caller honors."""
        return int(self.time_left_us * PATIENCE_SHARE)

    @property
    def earliest_us(self) -> int:
        """The delay from which on a return is worthwhile.

        It is the end of the caller's patience if the request can still be
        served after that, although other work is still ahead of it then.
        """
        earliest_us = max(MIN_RETRY_AFTER_US, self.wait_us)
        patience_us = max(MIN_RETRY_AFTER_US, self.patience_us)
        if self.wait_us + self.work_us <= self.time_left_us:
            earliest_us = min(earliest_us, patience_us)
        return earliest_us


class ReturnSchedule:
    """The returns that refused callers of one service were told.

    A caller that would have to wait longer than it does gets no place, so that
    it takes none from others.
    """

    __slots__ = ('_last_beyond_us', '_last_us', '_reserved', '_rng')

    def __init__(self, rng: random.Random) -> None:
        """Create an empty schedule; `rng` draws the jitter within a place."""
        self._rng = rng
        # Work that returns in each interval, by its number.
        self._reserved: dict[int, int] = {}
        # The end of the last place of each rank.
        self._last_us: dict[ReturnRank, int] = {}
        # The same for callers that do not wait for their place.
        self._last_beyond_us: dict[ReturnRank, int] = {}

    def place(self, request: ReturnRequest, now_us: int) -> int:
        """Return the Retry-After of a refused request."""
        self._forget(now_us)
        slots = max(request.room_left, MIN_RETURN_SHARE * request.room)
        capacity_us = max(1, int(slots * INTERVAL_US))
        last_us = self._last_us.get(request.rank, 0)
        start_us = max(now_us + request.earliest_us, last_us)
        begin_us = self._find(start_us, request.work_us, capacity_us)
        width_us = max(1, INTERVAL_US * request.work_us // capacity_us)
        delay_us = begin_us - now_us
        longest_us = min(
            MAX_RETRY_AFTER_US, max(MIN_RETRY_AFTER_US, request.patience_us)
        )
        if delay_us > longest_us:
            return self._place_beyond(request.rank, begin_us, width_us, now_us)
        interval = begin_us // INTERVAL_US
        used_us = self._reserved.get(interval, 0)
        self._reserved[interval] = used_us + request.work_us
        self._last_us[request.rank] = begin_us + width_us
        return min(longest_us, delay_us + int(self._rng.random() * width_us))

    def _place_beyond(
        self, rank: ReturnRank, begin_us: int, width_us: int, now_us: int
    ) -> int:
        """Return the Retry-After of a caller that does not wait so long.

        It may return nevertheless, so that it is not told the same time as
        others.
        """
        begin_us = max(begin_us, self._last_beyond_us.get(rank, 0))
        self._last_beyond_us[rank] = begin_us + width_us
        draw = self._rng.random()
        longest_us = int((1 - MAX_SPREAD * draw) * MAX_RETRY_AFTER_US)
        return min(longest_us, begin_us - now_us + int(draw * width_us))

    def _find(self, start_us: int, work_us: int, capacity_us: int) -> int:
        """Return the begin of the first place from `start_us` on.

        Places beyond `MAX_RETRY_AFTER_US` are not reserved, so that the search
        ends there.
        """
        interval = start_us // INTERVAL_US
        while self._is_full(interval, work_us, capacity_us):
            interval += 1
        used_us = self._reserved.get(interval, 0)
        begin_us = interval * INTERVAL_US + INTERVAL_US * used_us // capacity_us
        return max(start_us, begin_us)

    def _is_full(self, interval: int, work_us: int, capacity_us: int) -> bool:
        used_us = self._reserved.get(interval, 0)
        return bool(used_us) and used_us + work_us > capacity_us

    def _forget(self, now_us: int) -> None:
        """Drop what is over, so that at most about 100 intervals are kept."""
        current = now_us // INTERVAL_US
        if len(self._reserved) > 2 * MAX_RETRY_AFTER_US // INTERVAL_US:
            self._reserved = {
                interval: work_us
                for interval, work_us in self._reserved.items()
                if interval >= current
            }
        _forget_ranks(self._last_us, now_us)
        _forget_ranks(self._last_beyond_us, now_us)


def _forget_ranks(last_us: dict[ReturnRank, int], now_us: int) -> None:
    if len(last_us) > MAX_RANKS:
        over = [rank for rank, end_us in last_us.items() if end_us <= now_us]
        for rank in over:
            last_us.pop(rank)
