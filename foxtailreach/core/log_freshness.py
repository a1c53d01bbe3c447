"""Age of this host's copy of the log, and whether the copy may be used.

A host that reads the log, or gets it from a peer that does, is current. While
no reachable host can read the log, none of them can have newer records, so
the copy stays usable. A host that reaches neither the log nor any peer cannot
tell, and stops using its copy once that is older than `MAX_CURRENT_AGE_US`.
"""

from __future__ import annotations

from foxtailreach.core.units import MILLISECOND_US, SECOND_US

MAX_CURRENT_AGE_US = 3 * SECOND_US
MAX_PEER_REPORT_AGE_US = 1500 * MILLISECOND_US


class LogFreshness:
    """Age of the log at this host and at the peers it heard from."""

    __slots__ = ('_as_of_us', '_has_peers', '_peer_ages')

    def __init__(self) -> None:
        """Start without a copy of the log."""
        self._as_of_us: int | None = None
        self._has_peers = False
        self._peer_ages: dict[str, tuple[int, int]] = {}

    def record_read(self, as_of_us: int) -> None:
        """Record that this copy was complete at `as_of_us`."""
        if self._as_of_us is None or as_of_us > self._as_of_us:
            self._as_of_us = as_of_us

    def record_peer(self, host_id: str, log_age_us: int, now_us: int) -> None:
        """Record the age of a peer's copy; -1 if it has none."""
        self._peer_ages[host_id] = (now_us, log_age_us)

    def record_host_list(self, *, has_peers: bool) -> None:
        """Record whether the host list names any other host."""
        self._has_peers = has_peers

    def age_us(self, now_us: int) -> int:
        """Return the age of this host's copy; -1 if it has none."""
        if self._as_of_us is None:
            return -1
        return now_us - self._as_of_us

    def is_connected(self, now_us: int) -> bool:
        """Tell whether any peer was heard recently, or there are no peers."""
        if not self._has_peers:
            return True
        return bool(self._fresh_ages(now_us))

    def is_current(self, now_us: int) -> bool:
        """Tell whether this copy may be used to check keys and limits."""
        if self._as_of_us is None:
            return False
        if now_us - self._as_of_us <= MAX_CURRENT_AGE_US:
            return True
        if not self._has_peers:
            return True
        ages = self._fresh_ages(now_us)
        return bool(ages) and all(
            age_us < 0 or age_us > MAX_CURRENT_AGE_US for age_us in ages
        )

    def _fresh_ages(self, now_us: int) -> list[int]:
        """List the ages at the peers heard recently; -1 for no copy."""
        self._peer_ages = {
            host_id: entry
            for host_id, entry in self._peer_ages.items()
            if now_us - entry[0] <= MAX_PEER_REPORT_AGE_US
        }
        return [
            -1 if log_age_us < 0 else log_age_us + now_us - last_heard_us
            for last_heard_us, log_age_us in self._peer_ages.values()
        ]
