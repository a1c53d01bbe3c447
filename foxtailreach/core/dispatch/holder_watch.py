"""Detects the loss of hosts that hold slots.

Load pattern: many hosts are lost at once with requests in flight, and their
slots are needed for the callers that return through other hosts. A broker does
not wait for heartbeats between neighbours; it pings each host that has held a
slot for longer than most requests take.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailreach.core.units import MILLISECOND_US

# Most requests have ended by then.
CHECK_AFTER_US = 700 * MILLISECOND_US
PING_INTERVAL_US = 250 * MILLISECOND_US
# Four pings were not answered.
LOST_AFTER_US = 1050 * MILLISECOND_US


@dataclass(slots=True)
class HolderChecks:
    """Hosts to ping now, and hosts that have not answered for too long."""

    to_ping: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Check:
    """When a host was heard; if it was pinged since then, when first and last.

    Both times are 0 if it was not.
    """

    heard_us: int
    first_ping_us: int = 0
    last_ping_us: int = 0

    def is_lost(self, now_us: int) -> bool:
        """Tell whether the host has not answered for too long."""
        if not self.first_ping_us:
            return False
        return now_us - self.first_ping_us > LOST_AFTER_US

    def take_ping(self, now_us: int) -> bool:
        """Tell whether a ping is due, which is sent now."""
        if now_us - self.heard_us < CHECK_AFTER_US:
            return False
        if now_us - self.last_ping_us < PING_INTERVAL_US:
            return False
        self.first_ping_us = self.first_ping_us or now_us
        self.last_ping_us = now_us
        return True


class HolderWatch:
    """Hosts that hold slots and from which an answer is due."""

    __slots__ = ('_checks',)

    def __init__(self) -> None:
        """Start without hosts to check."""
        self._checks: dict[str, _Check] = {}

    def reset(self) -> None:
        """Forget the pings; this process was paused itself."""
        self._checks.clear()

    def record_heard(self, host_id: str, now_us: int) -> None:
        """Record that a host is alive."""
        known = self._checks.get(host_id)
        if known is not None:
            self._checks[host_id] = _Check(now_us)

    def check(
        self, oldest_grants_us: Mapping[str, int], now_us: int
    ) -> HolderChecks:
        """Check the hosts by the time of their oldest grant."""
        checks = HolderChecks()
        for forgotten in self._checks.keys() - oldest_grants_us.keys():
            self._checks.pop(forgotten)
        for host_id, granted_us in oldest_grants_us.items():
            known = self._checks.setdefault(host_id, _Check(granted_us))
            if known.is_lost(now_us):
                self._checks.pop(host_id)
                checks.lost.append(host_id)
            elif known.take_ping(now_us):
                checks.to_ping.append(host_id)
        return checks
