"""Pools: the targets of a service that one broker grants.

Load pattern: links between failure domains are long or expensive, and callers
and targets are spread over all domains. A broker for all targets would be
asked from every domain. So where requests stay in their domain, each domain has
a pool of its own with its own broker, and a pool without room refers requests
to one that has some.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Container, Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch.deployment import TargetSpec
from foxtailreach.core.units import MILLISECOND_US

_SEPARATOR = '@'
# A pool with fewer targets is often without one that has fresh evidence, so a
# service with fewer a domain is not divided.
MIN_POOL_TARGETS = 6
# Two reports of another pool were missed.
SPARE_VALID_US = 1200 * MILLISECOND_US
# A pool that does not report has had no requests. It is tried at this interval,
# so that it gets evidence and begins to report.
SILENT_POOL_INTERVAL_US = 100 * MILLISECOND_US


@dataclass(slots=True, frozen=True)
class Pool:
    """The targets of a service in one failure domain; all if it is ''."""

    service: str
    domain: str = ''

    @classmethod
    def parse(cls, name: str, services: Container[str]) -> Pool | None:
        """Return the pool with a name; None if its service is not known."""
        if name in services:
            return cls(name)
        service, separator, domain = name.rpartition(_SEPARATOR)
        if not separator or not domain or service not in services:
            return None
        return cls(service, domain)

    @property
    def name(self) -> str:
        """Name of the pool in messages, logs and metrics."""
        if not self.domain:
            return self.service
        return f'{self.service}{_SEPARATOR}{self.domain}'

    def is_beside(self, other: Pool) -> bool:
        """Tell whether another pool has other targets of the same service."""
        return self.service == other.service and self != other

    def includes(self, target: TargetSpec) -> bool:
        """Tell whether a target belongs to the pool."""
        if target.service != self.service:
            return False
        return self.domain in {'', target.domain}


def divided_services(targets: Iterable[TargetSpec]) -> frozenset[str]:
    """Return the services that have enough targets for a pool a domain."""
    targets_of: Counter[str] = Counter()
    domains_of: dict[str, set[str]] = {}
    for target in targets:
        targets_of[target.service] += 1
        domains_of.setdefault(target.service, set()).add(target.domain)
    return frozenset(
        service
        for service, count in targets_of.items()
        if count >= MIN_POOL_TARGETS * len(domains_of[service])
    )


@dataclass(slots=True)
class _Spare:
    slots: int
    reported_us: int


class SpareSlots:
    """Free slots of the other pools of a service, as they report them."""

    __slots__ = ('_by_domain', '_tried_us')

    def __init__(self) -> None:
        """Start without reports."""
        self._by_domain: dict[str, _Spare] = {}
        self._tried_us = 0

    def record(self, domain: str, slots: int, now_us: int) -> None:
        """Record the report of the pool of a domain."""
        self._by_domain[domain] = _Spare(slots, now_us)

    def take(self, domains: Collection[str], now_us: int) -> str:
        """Return the one of the domains with the most free slots, less one.

        The report is up to `SPARE_VALID_US` old, so each referral counts. If no
        domain has free slots, return one that does not report, or ''.
        """
        fresh = {
            domain: spare
            for domain, spare in self._by_domain.items()
            if domain in domains and now_us - spare.reported_us < SPARE_VALID_US
        }
        most = max(fresh, key=lambda name: fresh[name].slots, default='')
        if most and fresh[most].slots > 0:
            fresh[most].slots -= 1
            return most
        silent = sorted(set(domains).difference(fresh))
        if silent and now_us - self._tried_us >= SILENT_POOL_INTERVAL_US:
            self._tried_us = now_us
            return silent[now_us // SILENT_POOL_INTERVAL_US % len(silent)]
        return ''
