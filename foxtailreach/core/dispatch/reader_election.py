"""Elects the host of a failure domain that reads the platform for the others.

Load pattern: calls to the platform cost money and share a rate limit for the
fleet, the platform may reject single hosts, and after an outage all hosts could
call it at once. So one host per domain reads. If it goes silent, the next in
rank takes over after a delay that grows with the rank, so that a lost reader
is replaced without a thundering herd.
"""

from __future__ import annotations

from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import rank_candidates
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

READER_ROLE = 'state-reader'
# A reader counts as alive for this long after its last notice. Readers send one
# with each read, about every 0.7 s.
NOTICE_FRESH_US = 1200 * MILLISECOND_US
# Further wait of a host per place in the ranking.
RANK_DELAY_US = 300 * MILLISECOND_US
# A host that could not read the platform is skipped for this long.
FAILED_READER_SKIP_US = 3 * SECOND_US


class ReaderElection:
    """Decides whether this host should read now."""

    __slots__ = ('_domain', '_last_failure_us', '_membership', 'last_heard_us')

    def __init__(self, membership: Membership, domain: str) -> None:
        """Create an election without notices from readers.

        A host that starts sets `last_heard_us` to the current time, so that it
        waits for the current reader before it reads the platform itself.
        """
        self._membership = membership
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

    def rank(self, now_us: int) -> int:
        """Return this host's rank among the candidates; 0 is the reader.

        A host that recently failed to read the platform ranks last.
        """
        host_id = self._membership.host_id
        hosts = [
            candidate
            for candidate in self._membership.usable_hosts(self._domain)
            if candidate == host_id
            or now_us - self._last_failure_us.get(candidate, 0)
            > FAILED_READER_SKIP_US
        ]
        if host_id not in hosts:
            hosts.append(host_id)
        ranked = rank_candidates(hosts, READER_ROLE)
        is_failing = (
            now_us - self._last_failure_us.get(host_id, 0)
            <= FAILED_READER_SKIP_US
        )
        return len(ranked) if is_failing else ranked.index(host_id)

    def should_read(self, now_us: int) -> bool:
        """Tell whether this host should read the platform now."""
        rank = self.rank(now_us)
        if not rank:
            return True
        silent_us = now_us - self.last_heard_us
        return silent_us > NOTICE_FRESH_US + rank * RANK_DELAY_US
