"""The coordinators that this host can reach, now and in the last window.

Load pattern: hosts are lost, replaced and cut off while customers send more
than their limits. Whoever meters or brokers is ranked among the reachable
coordinators.
"""

from __future__ import annotations

import random

from foxtailreach.core.dispatch.contact import DomainContact
from foxtailreach.core.dispatch.coordinators import Coordinators
from foxtailreach.core.dispatch.host_history import HostHistory, RankedHosts
from foxtailreach.core.membership import Membership
from foxtailreach.core.messages import Liveness
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# A host that was not active for this long was paused.
PAUSED_AFTER_US = 350 * MILLISECOND_US
# A host that has been down for longer is gone, unless its whole failure domain
# is out of reach and may serve on its own.
ABSENT_FOR_US = 15 * SECOND_US
ABSENCE_CHECK_INTERVAL_US = SECOND_US
# Two keep-alives to the other failure domains were not answered.
OUT_OF_CONTACT_US = 900 * MILLISECOND_US


class Reach:
    """Reachable coordinators by membership and contact with their domains.

    `history` are the sets of reachable coordinators within the window.
    `resumed_us` is the time at which this process last continued after a
    pause, or 0.
    """

    __slots__ = (
        '_absent_since_us',
        '_coordinators',
        '_last_active_us',
        '_membership',
        '_next_absence_us',
        '_out_of_contact_us',
        '_recorded',
        'contact',
        'history',
        'resumed_us',
    )

    def __init__(
        self,
        membership: Membership,
        coordinators: Coordinators,
        domain: str,
        window_us: int,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Start with the hosts of `membership`."""
        self.contact = DomainContact(
            membership, coordinators, domain, rng, now_us
        )
        self.resumed_us = 0
        self._membership = membership
        self._coordinators = coordinators
        self.history = HostHistory(membership.host_id, window_us, now_us)
        self._absent_since_us: dict[str, int] = {}
        self._last_active_us = now_us
        self._next_absence_us = now_us
        self._out_of_contact_us = 0
        self._recorded: tuple[int, frozenset[str]] = (-1, frozenset())
        self.update(now_us)

    @property
    def current(self) -> RankedHosts:
        """Return the reachable coordinators as of the last update."""
        return self.history.current

    def update(self, now_us: int) -> None:
        """Record the reachable ones, and the share that is out of reach."""
        if self._coordinators.includes_this_host:
            self._record_contact(now_us)
        state = (self._membership.version, self.contact.cut_off(now_us))
        if state == self._recorded and now_us < self._next_absence_us:
            return
        self._recorded = state
        self._next_absence_us = now_us + ABSENCE_CHECK_INTERVAL_US
        _, cut_off = state
        hosts = self._membership.hosts
        reachable = frozenset(
            host_id
            for host_id in self._coordinators.hosts
            if self._membership.is_usable(host_id)
            and hosts[host_id].entry.domain not in cut_off
        )
        absent_share = self._absent_share(cut_off, now_us)
        self.history.record(reachable, absent_share, now_us)

    def record_activity(self, now_us: int) -> None:
        """Record that this process runs, to detect that it was paused."""
        if now_us - self._last_active_us > PAUSED_AFTER_US:
            self.resumed_us = now_us
            self.contact.listen_again()
        self._last_active_us = now_us

    def record_gap(self, since_us: int, now_us: int) -> None:
        """Record that this host learned nothing from `since_us` until now."""
        self.history.record_gap(since_us, now_us)

    def _record_contact(self, now_us: int) -> None:
        """Record a gap when most domains are in contact again.

        That is also the case once the silent domains are taken for cut off:
        what their hosts admitted meanwhile is not known.
        """
        if self.contact.usable_share(now_us, OUT_OF_CONTACT_US) < 1:
            lost_us = now_us - OUT_OF_CONTACT_US
            self._out_of_contact_us = self._out_of_contact_us or lost_us
        elif self._out_of_contact_us:
            self.record_gap(self._out_of_contact_us, now_us)
            self._out_of_contact_us = 0

    def _absent_share(self, cut_off: frozenset[str], now_us: int) -> float:
        """Return the share of coordinators that may meter out of reach."""
        states = {
            host_id: self._membership.hosts[host_id]
            for host_id in self._coordinators.hosts
        }
        absent = {
            host_id: self._absent_since_us.get(host_id, now_us)
            for host_id, state in states.items()
            if state.liveness is Liveness.DOWN or state.entry.domain in cut_off
        }
        self._absent_since_us = absent
        if not absent:
            return 0
        reachable_domains = {
            state.entry.domain
            for host_id, state in states.items()
            if host_id not in absent
        }
        gone = sum(
            now_us - since_us > ABSENT_FOR_US
            and states[host_id].entry.domain in reachable_domains
            for host_id, since_us in absent.items()
        )
        return (len(absent) - gone) / max(1, len(states) - gone)
