"""Which hosts were usable during the window of the limits.

A host holds the meter of a customer while it is one of the two that rank
first. Its knowledge of the customer's admissions has gaps where it did not,
and where it was paused or isolated.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator

from foxtailreach.core.dispatch.meter import Period, Periods
from foxtailreach.core.dispatch.meters import Absence
from foxtailreach.core.ranking import rank_candidates

# The hosts that hold the meter of a customer.
METER_HOSTS = 2
# Ranked hosts that are kept for each subject: the meter's, and those that are
# asked while the first are suspected.
RANKED_HOSTS = 4


class RankedHosts:
    """A set of hosts, and the first in rank for each subject asked for.

    `absent_share` is the share of the known hosts that are out of reach.
    """

    __slots__ = (
        '_added',
        '_before',
        '_removed',
        '_top',
        'absent_share',
        'hosts',
        'since_us',
    )

    def __init__(
        self,
        hosts: frozenset[str],
        absent_share: float,
        since_us: int,
        previous: RankedHosts | None = None,
    ) -> None:
        """Create a set; it reuses the ranking of the previous one."""
        self.hosts = hosts
        self.absent_share = absent_share
        self.since_us = since_us
        self._top: dict[str, tuple[str, ...]] = {}
        self._before: dict[str, tuple[str, ...]] = {}
        self._added = hosts
        self._removed: frozenset[str] = frozenset()
        if previous is not None:
            self._before = previous._top  # noqa: SLF001
            self._added = hosts - previous.hosts
            self._removed = previous.hosts - hosts

    def top(self, subject: str) -> tuple[str, ...]:
        """Return the first `RANKED_HOSTS` hosts in rank for a subject."""
        known = self._top.get(subject)
        if known is None:
            ranked = rank_candidates(self._candidates(subject), subject)
            known = tuple(ranked[:RANKED_HOSTS])
            self._top[subject] = known
        return known

    def holds_meter(self, host_id: str, subject: str) -> bool:
        """Tell whether a host is one of the first `METER_HOSTS`."""
        return host_id in self.top(subject)[:METER_HOSTS]

    def _candidates(self, subject: str) -> frozenset[str]:
        before = self._before.get(subject, ())
        if len(before) < RANKED_HOSTS or not self._removed.isdisjoint(before):
            return self.hosts
        return self._added.union(before)


class HostHistory:
    """The sets of usable hosts during the last window."""

    __slots__ = ('_host_id', '_sets', '_window_us')

    def __init__(self, host_id: str, window_us: int, now_us: int) -> None:
        """Start without hosts; nothing is known of the time before."""
        self._host_id = host_id
        self._window_us = window_us
        self._sets = deque([RankedHosts(frozenset(), 0, now_us - window_us)])

    @property
    def current(self) -> RankedHosts:
        """Return the newest set."""
        return self._sets[-1]

    def record(
        self,
        hosts: frozenset[str],
        absent_share: float,
        now_us: int,
    ) -> None:
        """Record the usable hosts, unless they are the same as before."""
        current = self.current
        is_same = hosts == current.hosts
        if is_same and math.isclose(absent_share, current.absent_share):
            return
        self._sets.append(RankedHosts(hosts, absent_share, now_us, current))
        self._forget(now_us)

    def record_gap(self, since_us: int, now_us: int) -> None:
        """Record that this host learned nothing from `since_us` until now."""
        current = self.current
        while len(self._sets) > 1 and self._sets[-1].since_us >= since_us:
            self._sets.pop()
        share = current.absent_share
        self._sets.append(RankedHosts(frozenset(), share, since_us))
        self._sets.append(RankedHosts(current.hosts, share, now_us))
        self._forget(now_us)

    def unknown_periods(self, subject: str, now_us: int) -> Periods:
        """List the periods in which this host did not hold the meter."""
        return tuple(
            period
            for ranked, period in self._periods(now_us)
            if not ranked.holds_meter(self._host_id, subject)
        )

    def was_first(
        self,
        choose_first: Callable[[RankedHosts], str],
        since_us: int,
        now_us: int,
    ) -> bool:
        """Tell whether this host was the first of each set in the window.

        What was before `since_us` does not matter.
        """
        start_us = max(since_us, now_us - self._window_us)
        return all(
            choose_first(ranked) == self._host_id
            for ranked, period in self._periods(now_us)
            if period.end_us > start_us
        )

    def absences(self, now_us: int) -> tuple[Absence, ...]:
        """List the periods in which hosts were out of reach."""
        return tuple(
            Absence(period, ranked.absent_share)
            for ranked, period in self._periods(now_us)
            if ranked.absent_share
        )

    def absences_of(self, host_id: str, now_us: int) -> Periods:
        """List the periods in which one host was out of reach."""
        return tuple(
            period
            for ranked, period in self._periods(now_us)
            if host_id not in ranked.hosts
        )

    def _periods(self, now_us: int) -> Iterator[tuple[RankedHosts, Period]]:
        """Iterate over the sets and the periods in which they held."""
        ends_us = [ranked.since_us for ranked in self._sets]
        ends_us.append(now_us)
        for ranked, end_us in zip(self._sets, ends_us[1:], strict=True):
            yield ranked, Period(ranked.since_us, end_us)

    def _forget(self, now_us: int) -> None:
        """Forget the sets that were replaced before the window began."""
        start_us = now_us - self._window_us
        while len(self._sets) > 1 and self._sets[1].since_us <= start_us:
            self._sets.popleft()
