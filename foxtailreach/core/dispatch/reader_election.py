"""Elects the host of a failure domain that reads the platform for the others.

Load pattern: calls to the platform cost money and share a rate limit for the
fleet, the platform may reject single hosts, and after an outage all hosts could
call it at once. So one host per domain reads, a coordinator as long as one can.
If it goes silent, the next in rank takes over after a delay that grows with the
rank, so that a lost reader is replaced without a thundering herd.
"""

from __future__ import annotations

from foxtailreach.core.dispatch.coordinators import Coordinators
from foxtailreach.core.membership import Membership
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# A reader counts as alive for this long after its last notice. Readers send one
# with each read, about every 0.7 s.
NOTICE_FRESH_US = 1200 * MILLISECOND_US
# Further wait of a host per place in the ranking.
RANK_DELAY_US = 300 * MILLISECOND_US
# A host that could not read the platform is skipped for this long.
FAILED_READER_SKIP_US = 3 * SECOND_US


class ReaderElection:
    """Decides whether this host should read now."""

    __slots__ = (
        '_coordinators',
        '_domain',
        '_last_failure_us',
        '_membership',
        'last_heard_us',
    )

    def __init__(
        self, membership: Membership, coordinators: Coordinators, domain: str
    ) -> None:
        """Create an election without notices from readers.

        A host that starts sets `last_heard_us` to the current time, so that it
        waits for the current reader before it reads the platform itself.
        """
        self._membership = membership
        self._coordinators = coordinators
        self._domain = domain
        self._last_failure_us: dict[str, int] = {}
        self.last_heard_us = 0

    def record_notice(
        self,
        host_id: str,
        now_us: int,
        *,
        is_reading: bool,
    ) -> None:
        """Record that a host of the domain reads the platform, or failed to."""
        if is_reading:
            self.last_heard_us = now_us
            self._last_failure_us.pop(host_id, None)
        else:
            self._last_failure_us[host_id] = now_us

    def record_recovery(self, host_id: str) -> None:
        """Record that a host can read again, although it may not be reading.

        Its view of itself must be what its notices tell the others.
        """
        self._last_failure_us.pop(host_id, None)

    def rank(self, now_us: int) -> int:
        """Return this host's rank among the candidates; 0 is the reader.

        A host that recently failed to read the platform ranks last.
        """
        host_id = self._membership.host_id
        order = self._coordinators.usable_order(self._domain)
        failing = self._failing(now_us)
        if host_id in failing:
            return len(order) - len(failing.intersection(order)) + 1
        if host_id not in order:
            return len(order) - len(failing.intersection(order))
        own = order.index(host_id)
        return own - len(failing.intersection(order[:own]))

    def should_read(self, now_us: int) -> bool:
        """Tell whether this host should read the platform now."""
        rank = self.rank(now_us)
        if not rank:
            return True
        silent_us = now_us - self.last_heard_us
        return silent_us > NOTICE_FRESH_US + rank * RANK_DELAY_US

    def _failing(self, now_us: int) -> frozenset[str]:
        return frozenset(
            host_id
            for host_id, failed_us in self._last_failure_us.items()
            if now_us - failed_us <= FAILED_READER_SKIP_US
        )
