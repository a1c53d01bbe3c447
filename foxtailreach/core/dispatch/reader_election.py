"""Which host of a failure domain reads the platform for the others.

Load pattern: the platform is priced by call and rate-limited for the fleet,
it may turn single hosts away, and when it comes back all hosts could rush to
it. One host a domain reads; the next in rank follows after a delay that
grows with its rank, so that a lost reader is replaced without a stampede.
"""

from __future__ import annotations

from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import rank_candidates
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

READER_ROLE = 'state-reader'
# Readers send a notice with each read, about every 0.7 s.
NOTICE_FRESH_US = 1200 * MILLISECOND_US
RANK_DELAY_US = 300 * MILLISECOND_US
# A host that could not read is passed over for this long.
FAILING_US = 3 * SECOND_US


class ReaderElection:
    """Decides whether this host should read now."""

    __slots__ = ('_domain', '_failing', '_membership', 'last_heard_us')

    def __init__(self, membership: Membership, domain: str) -> None:
        """Start without having heard of any reader.

        Whoever starts sets `last_heard_us` to the present, so that it waits for
        the reader in rank before it reads by itself.
        """
        self._membership = membership
        self._domain = domain
        self._failing: dict[str, int] = {}
        self.last_heard_us = 0

    def record_notice(
        self,
        host_id: str,
        now_us: int,
        *,
        is_reading: bool,
    ) -> None:
        """Note that a host of the domain reads, or cannot."""
        if is_reading:
            self.last_heard_us = now_us
            self._failing.pop(host_id, None)
        else:
            self._failing[host_id] = now_us

    def rank(self, now_us: int) -> int:
        """Return this host's place among those that may read."""
        host_id = self._membership.host_id
        hosts = [
            candidate
            for candidate in self._membership.usable_hosts(self._domain)
            if candidate == host_id
            or now_us - self._failing.get(candidate, 0) > FAILING_US
        ]
        if host_id not in hosts:
            hosts.append(host_id)
        ranked = rank_candidates(hosts, READER_ROLE)
        is_failing = now_us - self._failing.get(host_id, 0) <= FAILING_US
        return len(ranked) if is_failing else ranked.index(host_id)

    def should_read(self, now_us: int) -> bool:
        """Whether this host should read the platform now."""
        rank = self.rank(now_us)
        if not rank:
            return True
        silent_us = now_us - self.last_heard_us
        return silent_us > NOTICE_FRESH_US + rank * RANK_DELAY_US
