"""Chooses the hosts that broker services, meter customers and read the store.

Load pattern: fleets of hundreds of hosts of unequal size, most of them too
small to broker a large service beside their own callers. If every host could
be the broker or the meter, every host would have to know the liveness of every
other one and to get all evidence, which grows with the square of the fleet. So
a few hosts of each failure domain coordinate, the ones with the most capacity
first. They watch each other closely; the other hosts only need to know them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from foxtailreach.core.membership import HostState, Membership
from foxtailreach.core.ranking import rendezvous_score

COORDINATOR_ROLE = 'coordinator'
# Coordinators of a failure domain: enough to lose some at once.
MIN_COORDINATORS = 4
HOSTS_PER_COORDINATOR = 16
# With fewer usable ones, further hosts become coordinators. Until then a lost
# one is not replaced, so that the others keep what they broker and meter.
MIN_USABLE = 2


class Coordinators:
    """The coordinators by failure domain, as far as this host knows them.

    `hosts` are those of all domains. They include lost ones.
    """

    __slots__ = (
        '_by_domain',
        '_hosts',
        '_membership',
        '_order',
        '_version',
    )

    def __init__(self, membership: Membership) -> None:
        """Choose among the hosts of `membership`."""
        self._membership = membership
        self._version = -1
        self._order: dict[str, tuple[str, ...]] = {}
        self._by_domain: dict[str, tuple[str, ...]] = {}
        self._hosts: frozenset[str] = frozenset()

    @property
    def hosts(self) -> frozenset[str]:
        """Return the coordinators of all domains."""
        self._update()
        return self._hosts

    @property
    def includes_this_host(self) -> bool:
        """Whether this host is a coordinator."""
        return self._membership.host_id in self.hosts

    def of_domain(self, domain: str) -> tuple[str, ...]:
        """Return the coordinators of a domain, the first in order first."""
        self._update()
        return self._by_domain.get(domain, ())

    def usable_order(self, domain: str) -> tuple[str, ...]:
        """Return the usable hosts of a domain, coordinators first."""
        self._update()
        return self._order.get(domain, ())

    def by_domain(self) -> dict[str, tuple[str, ...]]:
        """Return the coordinators of each domain."""
        self._update()
        return self._by_domain

    def _update(self) -> None:
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        domains: dict[str, list[HostState]] = {}
        for state in self._membership.hosts.values():
            domains.setdefault(state.entry.domain, []).append(state)
        order = {
            domain: sorted(states, key=_order_key)
            for domain, states in domains.items()
        }
        is_usable = self._membership.is_usable
        self._order = {
            domain: tuple(
                state.entry.host_id
                for state in states
                if is_usable(state.entry.host_id)
            )
            for domain, states in order.items()
        }
        self._by_domain = {
            domain: self._choose(states) for domain, states in order.items()
        }
        self._hosts = frozenset(_flatten(self._by_domain.values()))

    def _choose(self, states: list[HostState]) -> tuple[str, ...]:
        """Return the first hosts of a domain, with some usable ones."""
        wanted = max(
            MIN_COORDINATORS, math.ceil(len(states) / HOSTS_PER_COORDINATOR)
        )
        chosen: list[str] = []
        usable = 0
        for state in states:
            if len(chosen) >= wanted and usable >= MIN_USABLE:
                break
            host_id = state.entry.host_id
            chosen.append(host_id)
            usable += self._membership.is_usable(host_id)
        return tuple(chosen)


def _order_key(state: HostState) -> tuple[int, int]:
    entry = state.entry
    return -entry.capacity, rendezvous_score(entry.host_id, COORDINATOR_ROLE)


def _flatten(groups: Iterable[tuple[str, ...]]) -> Iterable[str]:
    return (host_id for group in groups for host_id in group)
