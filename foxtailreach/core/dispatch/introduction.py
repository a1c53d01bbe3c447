"""Tells whether a new process knows which hosts are alive.

The platform's list names hosts that have left, and the news of their end has
spread before this process started. Until another host has shared what it
knows, this process may rank hosts otherwise than all others.
"""

from __future__ import annotations

from foxtailreach.core.units import MILLISECOND_US

# The other hosts are lost, or start at the same time and know as little.
INTRODUCTION_TIMEOUT_US = 400 * MILLISECOND_US
PING_INTERVAL_US = 100 * MILLISECOND_US
PINGED_HOSTS = 3


class Introduction:
    """Time since this process knows other hosts, and whether one has shared."""

    __slots__ = ('_is_confirmed', '_last_ping_us', '_started_us')

    def __init__(self) -> None:
        """Start without a list of hosts."""
        self._is_confirmed = False
        self._started_us: int | None = None
        self._last_ping_us = 0

    def start(self, now_us: int) -> None:
        """Record that a list of hosts is known."""
        if self._started_us is None:
            self._started_us = now_us

    def confirm(self) -> None:
        """Record that another host has shared what it knows, or agrees."""
        self._is_confirmed = True

    def is_over(self, now_us: int) -> bool:
        """Tell whether this process need not wait for another host."""
        if self._is_confirmed:
            return True
        if self._started_us is None:
            return False
        return now_us - self._started_us >= INTRODUCTION_TIMEOUT_US

    def take_ping(self, now_us: int) -> bool:
        """Tell whether pings to other hosts are due, which are sent now."""
        if self._started_us is None or self.is_over(now_us):
            return False
        if now_us - self._last_ping_us < PING_INTERVAL_US:
            return False
        self._last_ping_us = now_us
        return True
