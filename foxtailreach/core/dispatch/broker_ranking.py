"""Ranks the hosts that may broker a pool.

A pool of all domains is brokered by any coordinator. The pool of one domain is
brokered by a coordinator of that domain, the largest first, as most hosts are
too small to broker a large pool beside their own callers.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from foxtailreach.core.dispatch.coordinators import Coordinators
from foxtailreach.core.dispatch.host_history import RankedHosts
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.dispatch.reach import Reach
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import rank_candidates, top_candidate

# Hosts that are asked in turn.
MIN_RANKED_HOSTS = 2


class BrokerRanking:
    """Orders the hosts that this host can reach by pool."""

    __slots__ = ('_coordinators', '_membership', '_reach')

    def __init__(
        self, membership: Membership, coordinators: Coordinators, reach: Reach
    ) -> None:
        """Rank the coordinators that are within reach."""
        self._membership = membership
        self._coordinators = coordinators
        self._reach = reach

    def trusted_hosts(
        self, pool: Pool, suspected_until_us: Mapping[str, int], now_us: int
    ) -> list[str]:
        """Rank the reachable hosts without those that are suspected.

        Only the first few are ranked, unless most of these are suspected.
        """
        self._reach.update(now_us)
        current = self._reach.current
        ranked = self._ranked(pool, current)
        trusted = _without(ranked, suspected_until_us, now_us)
        if pool.domain or len(trusted) >= MIN_RANKED_HOSTS:
            return trusted
        return rank_candidates(
            _without(list(current.hosts), suspected_until_us, now_us),
            _subject(pool),
        )

    def first(self, pool: Pool) -> str:
        """Return the host that brokers a pool now; '' if none is in reach."""
        return self._first_of(pool, self._reach.current)

    def was_first(self, pool: Pool, since_us: int, now_us: int) -> bool:
        """Tell whether this host has brokered a pool during the window."""
        return self._reach.history.was_first(
            lambda ranked: self._first_of(pool, ranked), since_us, now_us
        )

    def successors(self, pool: Pool) -> list[str]:
        """List the other hosts that may broker a pool next.

        These are the next in rank, and for a pool of all domains the first in
        rank of each other domain, which brokers it if its domain is cut off.
        """
        ranked = self._ranked(pool, self._reach.current)
        own_id = self._membership.host_id
        if pool.domain:
            return [
                host_id
                for host_id in ranked[:MIN_RANKED_HOSTS]
                if host_id != own_id
            ]
        recipients = dict.fromkeys(ranked)
        for coordinators in self._coordinators.by_domain().values():
            usable = filter(self._membership.is_usable, coordinators)
            first = top_candidate(usable, _subject(pool))
            if first is not None:
                recipients[first] = None
        recipients.pop(own_id, None)
        return list(recipients)

    def _first_of(self, pool: Pool, ranked: RankedHosts) -> str:
        return next(iter(self._ranked(pool, ranked)), '')

    def _ranked(self, pool: Pool, ranked: RankedHosts) -> list[str]:
        if not pool.domain:
            return list(ranked.top(_subject(pool)))
        return self._rank_in_domain(pool, ranked.hosts)

    def _rank_in_domain(
        self, pool: Pool, reachable: Container[str]
    ) -> list[str]:
        members = [
            host_id
            for host_id in self._coordinators.of_domain(pool.domain)
            if host_id in reachable
        ]
        known = self._membership.hosts
        return sorted(
            rank_candidates(members, _subject(pool)),
            key=lambda host_id: -known[host_id].entry.capacity,
        )


def _without(
    host_ids: list[str], suspected_until_us: Mapping[str, int], now_us: int
) -> list[str]:
    return [
        host_id
        for host_id in host_ids
        if suspected_until_us.get(host_id, 0) <= now_us
    ]


def _subject(pool: Pool) -> str:
    return f'service/{pool.service}'
