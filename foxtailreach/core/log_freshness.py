"""How current this host's copy of the log is, and whether it may act on it.

A host that reads the log, or hears from a peer that does, is current. While
nobody within reach can read the log, nothing newer can exist for anyone
within reach, so the copy stays usable. A host that can reach neither the log
nor its peers cannot know and stops after a grace period.
"""

from __future__ import annotations

from foxtailreach.core.units import MILLISECOND_US, SECOND_US

CURRENT_US = 3 * SECOND_US
PEER_FRESH_US = 1500 * MILLISECOND_US


class LogFreshness:
    """Age of the folded log, here and at the peers last heard from."""

    __slots__ = ('_as_of_us', '_has_peers', '_peer_ages')

    def __init__(self) -> None:
        """Start without having read anything."""
        self._as_of_us: int | None = None
        self._has_peers = False
        self._peer_ages: dict[str, tuple[int, int]] = {}

    def record_read(self, as_of_us: int) -> None:
        """The log was folded completely as of a moment."""
        if self._as_of_us is None or as_of_us > self._as_of_us:
            self._as_of_us = as_of_us

    def record_peer(self, host_id: str, log_age_us: int, now_us: int) -> None:
        """A peer answered and told the age of its copy."""
        self._peer_ages[host_id] = (now_us, log_age_us)

    def expect_peers(self, *, has_peers: bool) -> None:
        """Tell whether the host list names any other host."""
        self._has_peers = has_peers

    def age_us(self, now_us: int) -> int:
        """Return the age of this host's copy; -1 if it has none."""
        if self._as_of_us is None:
            return -1
        return now_us - self._as_of_us

    def is_connected(self, now_us: int) -> bool:
        """Whether any peer answered a moment ago, if there are peers."""
        if not self._has_peers:
            return True
        return bool(self._fresh_ages(now_us))

    def is_current(self, now_us: int) -> bool:
        """Whether this copy may be relied on for keys and limits."""
        if self._as_of_us is None:
            return False
        if now_us - self._as_of_us <= CURRENT_US:
            return True
        if not self._has_peers:
            return True
        ages = self._fresh_ages(now_us)
        return bool(ages) and all(
            age_us < 0 or age_us > CURRENT_US for age_us in ages
        )

    def _fresh_ages(self, now_us: int) -> list[int]:
        self._peer_ages = {
            host_id: entry
            for host_id, entry in self._peer_ages.items()
            if now_us - entry[0] <= PEER_FRESH_US
        }
        return [
            log_age_us + now_us - last_heard_us
            for last_heard_us, log_age_us in self._peer_ages.values()
        ]
