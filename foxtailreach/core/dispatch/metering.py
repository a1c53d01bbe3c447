"""Meters customers on the hosts that rank first for them.

Decides whether this host may meter a customer, what it knows of the time
before, and which hosts get copies of its meters.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.host_history import METER_HOSTS
from foxtailreach.core.dispatch.inquiries import Inquiries
from foxtailreach.core.dispatch.introduction import Introduction
from foxtailreach.core.dispatch.meter import Period, Periods
from foxtailreach.core.dispatch.meters import (
    Absence,
    CustomerMeters,
    FleetView,
    LimitPolicy,
)
from foxtailreach.core.dispatch.reach import Reach
from foxtailreach.core.membership import Membership
from foxtailreach.core.units import MILLISECOND_US

# What arrived while the process was paused is handled within this time after
# it; its askers no longer wait for it.
RESUME_US = 100 * MILLISECOND_US
# A charge waits this long for contact with the other failure domains; after
# that its asker has gone to the next host.
HELD_CHARGE_US = 150 * MILLISECOND_US

Effects = list[messages.SendHost]


@dataclass(slots=True, frozen=True)
class HeldCharge:
    """A charge that waits for contact with the other failure domains.

    With `is_for_answers` it waits for the answers to an inquiry instead.
    """

    sender: str
    request: messages.ChargeRequest
    received_us: int
    is_for_answers: bool = False


class Metering:
    """The meters of one host, and its right to use them."""

    __slots__ = (
        '_copied_hosts',
        '_held_charges',
        '_incarnations',
        '_inquiries',
        '_introduction',
        '_membership',
        '_meters',
        '_reach',
    )

    def __init__(
        self,
        membership: Membership,
        reach: Reach,
        introduction: Introduction,
        policy: LimitPolicy,
    ) -> None:
        """Create a host that meters nothing until its introduction is over."""
        self._introduction = introduction
        self._membership = membership
        self._reach = reach
        self._meters = CustomerMeters(policy)
        self._held_charges: list[HeldCharge] = []
        self._copied_hosts = reach.current
        self._inquiries = Inquiries()
        # The processes that were known at a version of the membership.
        self._incarnations: tuple[int, dict[str, int]] = (-1, {})

    def top_hosts(self, customer: str, now_us: int) -> tuple[str, ...]:
        """Rank the hosts that may meter a customer, the holders first."""
        self._reach.update(now_us)
        return self._reach.current.top(_subject(customer))

    def charge_local_share(
        self,
        customer: CustomerSpec,
        isolated_since_us: int,
        now_us: int,
    ) -> messages.ChargeResult:
        """Admit or refuse a request from this host's share of the limit."""
        hosts = len(self._membership.hosts)
        return self._meters.charge_local_share(
            customer, hosts, isolated_since_us, now_us
        )

    def charge(
        self,
        sender: str,
        request: messages.ChargeRequest,
        customer: CustomerSpec | None,
        now_us: int,
    ) -> Effects:
        """Admit or refuse a request if this host holds the customer's meter.

        `customer` is None if it is not configured here. A charge waits without
        contact with most failure domains, and while other hosts are asked for
        admissions that this one does not know; see `take_decidable`.
        """
        if now_us - self._reach.resumed_us < RESUME_US:
            return []
        self._reach.update(now_us)
        host_id = self._membership.host_id
        subject = _subject(request.customer)
        is_holder = self._reach.current.holds_meter(host_id, subject)
        is_introduced = self._introduction.is_over(now_us)
        if customer is None or not is_holder or not is_introduced:
            refusal = messages.ChargeResult(
                request.ask_id,
                messages.Admission.NOT_OWNER,
                0,
            )
            return [messages.SendHost(sender, refusal)]
        inquiries = self._ask_for_gap(customer, now_us)
        if self._is_asking(customer.name, now_us):
            held = HeldCharge(sender, request, now_us, is_for_answers=True)
            self._held_charges.append(held)
            return inquiries
        share = self._reach.contact.usable_share(now_us)
        new_effects: Effects = []
        if share:
            new_effects = self._decide(sender, request, customer, share, now_us)
        if share < 1 and not new_effects:
            self._held_charges.append(HeldCharge(sender, request, now_us))
        if share < 1:
            new_effects.extend(self._ping_silent_domains(now_us))
        return inquiries + new_effects

    def answer(
        self, sender: str, request: messages.MeterRequest, now_us: int
    ) -> Effects:
        """Send all that this host knows of a customer's admissions.

        Of a time in which hosts were out of reach it knows only those of its
        own side.
        """
        self._reach.update(now_us)
        absent = self._meters.unreconciled(
            request.customer, self._reach.history.absences(now_us)
        )
        unknown = self._unknown_periods(request.customer, now_us)
        copies = self._meters.copy_meter(
            request.customer, unknown + absent, now_us
        )
        return [messages.SendHost(sender, copy) for copy in copies]

    def cancel(
        self,
        sender: str,
        cancel: messages.ChargeCancel,
        now_us: int,
    ) -> Effects:
        """Withdraw the charge of a request that was not sent."""
        if not self._meters.cancel(sender, cancel.ask_id, cancel.customer):
            return []
        copy = self._meters.copy_admission(
            sender, cancel.ask_id, cancel.customer, now_us
        )
        return self._copy_to_others(copy)

    def merge(
        self,
        sender: str,
        copy: messages.MeterCopy,
        now_us: int,
    ) -> None:
        """Merge admissions that another host copied to this one."""
        absences = self._reach.history.absences_of(sender, now_us)
        self._meters.merge(copy, now_us, absences)
        if copy.is_whole:
            self._inquiries.record_answer(copy.customer, sender)

    def take_decidable(self, now_us: int) -> list[HeldCharge]:
        """Remove and return the charges that need not wait any longer.

        Those that waited too long are dropped.
        """
        if not self._held_charges:
            return []
        is_connected = self._reach.contact.usable_share(now_us) == 1
        decidable: list[HeldCharge] = []
        held: list[HeldCharge] = []
        for charge in self._held_charges:
            if now_us - charge.received_us >= HELD_CHARGE_US:
                continue
            is_due = is_connected or charge.is_for_answers
            is_asking = self._is_asking(charge.request.customer, now_us)
            waits = is_asking or not is_due
            (held if waits else decidable).append(charge)
        self._held_charges = held
        return decidable

    def watch_membership(self, now_us: int) -> Effects:
        """Copy the meters of customers that another host now holds."""
        self._reach.update(now_us)
        before, self._copied_hosts = self._copied_hosts, self._reach.current
        restarted = self._take_restarted()
        if before is self._copied_hosts and not restarted:
            return []
        new_effects: Effects = []
        customers = self._meters.customers(now_us)
        self._inquiries.forget(customers)
        for customer in customers:
            subject = _subject(customer)
            if before.holds_meter(self._membership.host_id, subject):
                holders = before.top(subject)[:METER_HOSTS]
                previous = frozenset(holders) - restarted
                new_effects.extend(self._copy_meter(customer, previous, now_us))
        return new_effects

    def leave(self, now_us: int) -> Effects:
        """Copy all meters to the hosts that hold them after this one leaves."""
        self._reach.update(now_us)
        new_effects: Effects = []
        for customer in self._meters.customers(now_us):
            new_effects.extend(self._copy_meter(customer, (), now_us))
        self._copied_hosts = self._reach.current
        return new_effects

    def _decide(
        self,
        sender: str,
        request: messages.ChargeRequest,
        customer: CustomerSpec,
        share: float,
        now_us: int,
    ) -> Effects:
        """Decide a charge; with a share of the limit, only admit it."""
        unknown = self._unknown_periods(customer.name, now_us)
        absences = self._reach.history.absences(now_us)
        if share < 1:
            absences = (Absence(Period(0, now_us), 1 - share),)
        view = FleetView(unknown, absences)
        result = self._meters.charge(sender, request, customer, view, now_us)
        if share < 1 and result.admission is messages.Admission.REFUSED:
            return []
        new_effects: Effects = [messages.SendHost(sender, result)]
        is_admitted = result.admission is not messages.Admission.REFUSED
        if customer.rate_per_s and is_admitted:
            copy = self._meters.copy_admission(
                sender, request.ask_id, customer.name, now_us
            )
            new_effects.extend(self._copy_to_others(copy))
        return new_effects

    def _ask_for_gap(self, customer: CustomerSpec, now_us: int) -> Effects:
        """Ask the hosts that may know the admissions that this one does not."""
        if not customer.rate_per_s:
            return []
        gap = self._gap(customer.name, now_us)
        if not gap:
            return []
        ranked = self._reach.current.top(_subject(customer.name))
        own_id = self._membership.host_id
        others = [host_id for host_id in ranked if host_id != own_id]
        return list(self._inquiries.ask(customer.name, gap, others, now_us))

    def _is_asking(self, customer: str, now_us: int) -> bool:
        """Whether an answer with unknown admissions may arrive in time."""
        if not self._inquiries.is_waiting(customer, now_us):
            return False
        return bool(self._gap(customer, now_us))

    def _gap(self, customer: str, now_us: int) -> Periods:
        unknown = self._unknown_periods(customer, now_us)
        return self._meters.gap(customer, unknown, now_us)

    def _unknown_periods(self, customer: str, now_us: int) -> Periods:
        return self._reach.history.unknown_periods(_subject(customer), now_us)

    def _take_restarted(self) -> frozenset[str]:
        """Return the hosts whose process has changed since the last call."""
        version, known = self._incarnations
        if version == self._membership.version:
            return frozenset()
        current = {
            host_id: state.incarnation
            for host_id, state in self._membership.hosts.items()
        }
        self._incarnations = (self._membership.version, current)
        return frozenset(
            host_id
            for host_id, incarnation in current.items()
            if 0 < known.get(host_id, 0) < incarnation
        )

    def _ping_silent_domains(self, now_us: int) -> Effects:
        new_effects: Effects = []
        for host_id in self._reach.contact.hosts_to_ping(now_us):
            ping = self._membership.create_ping(now_us)
            new_effects.append(messages.SendHost(host_id, ping))
        return new_effects

    def _copy_to_others(self, copy: messages.MeterCopy) -> Effects:
        """Send a copy to the other host that holds the customer's meter."""
        return [
            messages.SendHost(host_id, copy)
            for host_id in self._other_holders(copy.customer)
        ]

    def _other_holders(self, customer: str) -> list[str]:
        """List the other hosts that hold a customer's meter."""
        top = self._reach.current.top(_subject(customer))[:METER_HOSTS]
        own_id = self._membership.host_id
        return [host_id for host_id in top if host_id != own_id]

    def _copy_meter(
        self,
        customer: str,
        previous: Collection[str],
        now_us: int,
    ) -> Effects:
        """Copy a meter to its holders that are not in `previous`."""
        unknown = self._unknown_periods(customer, now_us)
        return [
            messages.SendHost(host_id, copy)
            for host_id in self._other_holders(customer)
            if host_id not in previous
            for copy in self._meters.copy_meter(customer, unknown, now_us)
        ]


def _subject(customer: str) -> str:
    return f'customer/{customer}'
