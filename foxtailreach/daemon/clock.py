"""Clocks in the units that the core expects."""

from __future__ import annotations

import time

_NS_PER_US = 1000


def monotonic_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // _NS_PER_US


def boot_time_us() -> int:
    """Return the time since boot in microseconds.

    It includes the time that the machine was suspended, so a lease that ran
    out during a suspension counts as expired at once.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_US


def wall_ms() -> int:
    """Return the wall clock in milliseconds, used as incarnation."""
    return int(time.time() * _NS_PER_US)
