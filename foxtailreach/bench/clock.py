"""A scheduler in virtual time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class VirtualClock:
    """Runs actions in the order of their due times."""

    __slots__ = ('_heap', '_order', 'now_us')

    def __init__(self) -> None:
        """Start at time zero without scheduled actions."""
        self.now_us = 0
        self._heap: list[tuple[int, int, Action]] = []
        self._order = itertools.count()

    def at(self, when_us: float, action: Action) -> None:
        """Schedule an action at an absolute time."""
        entry = (int(when_us), next(self._order), action)
        heapq.heappush(self._heap, entry)

    def after(self, delay_us: float, action: Action) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_us + delay_us, action)

    def run_until(self, end_us: int) -> None:
        """Run all actions that are due up to `end_us`."""
        while self._heap and self._heap[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._heap)
            action()
        self.now_us = end_us
