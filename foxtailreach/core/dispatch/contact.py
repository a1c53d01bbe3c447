"""Contact of this host with the failure domains.

A failure domain that is cut off serves its own callers. Heartbeats between
neighbours find that out one host at a time, and not at all for hosts without a
neighbour in the domain. So the coordinators also listen for the domains as a
whole, and the reader of each domain tells its hosts which ones are cut off.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from foxtailreach.core.dispatch.coordinators import Coordinators
from foxtailreach.core.membership import Membership
from foxtailreach.core.messages import Liveness
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Two round trips within the fleet, with one message lost.
CONTACT_US = 250 * MILLISECOND_US
PING_INTERVAL_US = 50 * MILLISECOND_US
# One of them may be down without being known as such.
PINGED_HOSTS = 2
# A domain that is silent for this long is pinged, and later taken for cut off.
KEEP_ALIVE_US = 400 * MILLISECOND_US
CUT_OFF_AFTER_US = 2 * SECOND_US
# The report of a reader expires when two of its notices are missing.
REPORT_VALID_US = 1800 * MILLISECOND_US


class DomainContact:
    """Times of the last message from each failure domain."""

    __slots__ = (
        '_coordinators',
        '_domain',
        '_grouped_version',
        '_heard_us',
        '_hosts_by_domain',
        '_listening_since_us',
        '_membership',
        '_next_keep_alive_us',
        '_next_ping_us',
        '_rng',
        '_reported_cut_off',
        '_reported_us',
        '_was_coordinator',
    )

    def __init__(
        self,
        membership: Membership,
        coordinators: Coordinators,
        domain: str,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Create a record for a host of `domain`, without messages."""
        self._membership = membership
        self._coordinators = coordinators
        self._reported_cut_off: frozenset[str] = frozenset()
        self._reported_us = 0
        self._was_coordinator = False
        self._domain = domain
        self._rng = rng
        self._heard_us: dict[str, int] = {}
        self._listening_since_us: dict[str, int] = {}
        self._hosts_by_domain: dict[str, list[str]] = {}
        self._grouped_version = -1
        self._next_ping_us = now_us
        self._next_keep_alive_us = now_us

    def record(self, domain: str, now_us: int) -> None:
        """Record a message from a host of a domain."""
        self._heard_us[domain] = now_us

    def record_cut_off_report(
        self, cut_off: Iterable[str], now_us: int
    ) -> None:
        """Record which domains are cut off, as this domain's reader reports."""
        self._reported_cut_off = frozenset(cut_off) - {self._domain}
        self._reported_us = now_us

    def listen_again(self) -> None:
        """Forget for how long the domains were silent, after a pause."""
        self._listening_since_us.clear()

    def usable_share(self, now_us: int, within_us: int = CONTACT_US) -> float:
        """Return the share of a limit that this side of the fleet may use.

        All of it if more than half of the domains were heard recently, half of
        it if exactly half were, and otherwise nothing. Domains that are down or
        cut off do not count.
        """
        domains = self._live_hosts().keys() - self.cut_off(now_us)
        heard = {
            domain
            for domain in domains
            if self._is_heard(domain, now_us, within_us)
        }
        if 2 * len(heard) == len(domains):
            return 0.5
        return float(2 * len(heard) > len(domains))

    def cut_off(self, now_us: int) -> frozenset[str]:
        """Return the domains that have been silent for too long.

        A host that is no coordinator relies on the reader of its domain.
        """
        is_coordinator = self._coordinators.includes_this_host
        if is_coordinator and not self._was_coordinator:
            self.listen_again()
        self._was_coordinator = is_coordinator
        if not is_coordinator:
            is_valid = now_us - self._reported_us < REPORT_VALID_US
            return self._reported_cut_off if is_valid else frozenset()
        return frozenset(
            domain
            for domain in self._live_hosts()
            if domain != self._domain
            and self._silent_us(domain, now_us) > CUT_OFF_AFTER_US
        )

    def hosts_to_ping(self, now_us: int) -> Iterator[str]:
        """Choose hosts of the domains without contact, at a limited rate."""
        if now_us < self._next_ping_us:
            return iter(())
        self._next_ping_us = now_us + PING_INTERVAL_US
        silent = [
            domain
            for domain in self._live_hosts()
            if not self._is_heard(domain, now_us, CONTACT_US)
        ]
        return self._choose_hosts(silent, PINGED_HOSTS)

    def hosts_to_keep_alive(self, now_us: int) -> Iterator[str]:
        """Choose a host of each domain that was silent for a while.

        Only coordinators listen for the domains.
        """
        if (
            now_us < self._next_keep_alive_us
            or not self._coordinators.includes_this_host
        ):
            return iter(())
        self._next_keep_alive_us = now_us + KEEP_ALIVE_US
        silent = [
            domain
            for domain in self._live_hosts()
            if domain != self._domain
            and self._silent_us(domain, now_us) >= KEEP_ALIVE_US
        ]
        return self._choose_hosts(silent, 1)

    def _choose_hosts(
        self, domains: Iterable[str], count: int
    ) -> Iterator[str]:
        """Choose coordinators of each domain, or any hosts if none is live."""
        for domain in domains:
            live = self._live_hosts()[domain]
            coordinators = self._coordinators.hosts
            hosts = [host for host in live if host in coordinators] or live
            yield from self._rng.sample(hosts, min(count, len(hosts)))

    def _is_heard(self, domain: str, now_us: int, within_us: int) -> bool:
        if domain == self._domain:
            return True
        heard_us = self._heard_us.get(domain)
        return heard_us is not None and now_us - heard_us <= within_us

    def _silent_us(self, domain: str, now_us: int) -> int:
        since_us = self._listening_since_us.setdefault(domain, now_us)
        return now_us - max(since_us, self._heard_us.get(domain, since_us))

    def _live_hosts(self) -> dict[str, list[str]]:
        """Group the hosts that are not known to be down by domain."""
        if self._grouped_version != self._membership.version:
            self._grouped_version = self._membership.version
            self._hosts_by_domain = {}
            for host_id, state in self._membership.hosts.items():
                if state.liveness is not Liveness.DOWN:
                    self._hosts_by_domain.setdefault(
                        state.entry.domain, []
                    ).append(host_id)
        return self._hosts_by_domain
