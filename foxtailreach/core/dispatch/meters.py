"""Fleet-wide rate limits, metered per customer on two hosts.

The two hosts that rank first for a customer by rendezvous hashing hold its
meter. The first is asked; it copies each admission to the second, which is
asked while the first does not answer. Admissions have keys, so that a charge
that is sent again, or to the other host, counts once.

Load pattern: one customer sends many times its rate through all hosts at
once, while messages are lost and hosts are paused, killed and replaced.
Requests within rate and burst are admitted. Those within the tolerance that
operators allow beyond it are admitted as surplus, which is served only while
no other request waits. Retries count towards the tolerance only.

The limit is kept in every window by what targets receive:

- The meter counts for `SEND_DELAY_US` longer than the window, because a request
  is sent that long after its admission; one that waits longer renews it.
- A host that does not know the admissions of a time in the window, because it
  did not hold the meter or was paused, assumes that the limit was used evenly.
  The hosts that held the meter copy it, so mostly nothing is assumed.
- Hosts out of reach may meter the customer among themselves. Their share of
  the limit is assumed to be used.
- A customer that was refused is admitted at an even pace. After a loss of
  both meters, an even use is what the next host assumes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from foxtailreach.core.dispatch.budgets import TokenBucket
from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.messages import (
    Admission,
    ChargeRequest,
    ChargeResult,
    MeterCopy,
    MeterEntry,
)
from foxtailreach.core.dispatch.meter import (
    SLICE_US,
    Admitted,
    Meter,
    Period,
    Periods,
    admission_key,
    merge_period,
    subtract_periods,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Longest time from an admission until its request reaches a target: a wait for
# a slot without a renewal, and the time to connect.
SEND_DELAY_US = 300 * MILLISECOND_US
# Shares of the tolerance up to which surplus and retries are admitted; the rest
# covers admissions that two hosts make at the same time.
SURPLUS_SHARE = 0.25
RETRY_SHARE = 0.75
# Share of the burst that is admitted at once after a refusal, or by a host that
# knows no earlier admissions.
RESERVED_BURST_SHARE = 0.25
MIN_RETRY_AFTER_US = 50 * MILLISECOND_US
# Keeps a copy of a meter below the size of a datagram.
MAX_COPIED_ENTRIES = 1000


@dataclass(slots=True, frozen=True)
class LimitBudget:
    """Admissions of a customer that a meter may hold at any time.

    First sends are within the limit up to `guaranteed`, and surplus while all
    admissions stay below `surplus`. All admissions stay below `total`.
    """

    guaranteed: float
    surplus: float
    total: float


@dataclass(slots=True, frozen=True)
class Pace:
    """Even pace of a customer that was refused within `enforced_us`.

    Up to `lead_requests` are admitted ahead of it.
    """

    interval_us: float
    lead_requests: float
    enforced_us: int


@dataclass(slots=True, frozen=True)
class LimitPolicy:
    """Sliding window of the limits, and the tolerance beyond them.

    The tolerance is the `overage` share of the limit plus `slack` requests.
    """

    window_us: int
    overage: float
    slack: float

    @property
    def metered_us(self) -> int:
        """Return how long an admission counts."""
        return self.window_us + SEND_DELAY_US

    def guaranteed_requests(self, customer: CustomerSpec) -> float:
        """Return how many requests of a customer a window must admit."""
        rate = customer.rate_per_s * self.window_us / SECOND_US
        return rate + customer.burst_requests

    def allowed_requests(self, customer: CustomerSpec) -> float:
        """Return how many requests of a customer a window may admit."""
        guaranteed = self.guaranteed_requests(customer)
        return guaranteed * (1 + self.overage) + self.slack

    def budget(self, customer: CustomerSpec) -> LimitBudget:
        """Return the limits of a customer's meter."""
        allowed = self.allowed_requests(customer)
        metered = customer.rate_per_s * self.metered_us / SECOND_US
        guaranteed = min(allowed, metered + customer.burst_requests)
        tolerance = allowed - guaranteed
        return LimitBudget(
            guaranteed,
            guaranteed + SURPLUS_SHARE * tolerance,
            guaranteed + RETRY_SHARE * tolerance,
        )

    def pace(self, customer: CustomerSpec, share: float) -> Pace:
        """Return the pace of a customer for a share of the hosts."""
        return Pace(
            self.metered_us / (self.budget(customer).surplus * share),
            _reserved_burst(customer),
            self.metered_us,
        )


@dataclass(slots=True, frozen=True)
class Absence:
    """A period in which a share of the hosts was out of reach."""

    period: Period
    share: float


@dataclass(slots=True, frozen=True)
class FleetView:
    """What a host knows of admissions that other hosts made.

    `unknown` are the periods in which it did not hold the meter, or was paused
    or isolated; `absences` those in which hosts were out of reach.
    """

    unknown: Periods = ()
    absences: tuple[Absence, ...] = ()

    def reachable_share(self, now_us: int) -> float:
        """Return the share of the hosts that is within reach now."""
        if self.absences and self.absences[-1].period.end_us >= now_us:
            return 1 - self.absences[-1].share
        return 1


class CustomerMeters:
    """Meters of the customers for which this host ranks high enough."""

    __slots__ = ('_local_buckets', '_meters', '_policy')

    def __init__(self, policy: LimitPolicy) -> None:
        """Create meters without admissions."""
        self._policy = policy
        self._meters: dict[str, Meter] = {}
        self._local_buckets: dict[str, TokenBucket] = {}

    def charge(
        self,
        sender: str,
        request: ChargeRequest,
        customer: CustomerSpec,
        view: FleetView,
        now_us: int,
    ) -> ChargeResult:
        """Admit or refuse one request, or renew its earlier admission."""
        if not customer.rate_per_s:
            return ChargeResult(request.ask_id, Admission.WITHIN_LIMIT, 0)
        meter = self._meter(customer.name, now_us)
        key = admission_key(sender, request.ask_id)
        admitted = meter.find(key)
        if admitted is not None:
            is_surplus = admitted.is_surplus
            meter.add(key, Admitted(now_us, admitted.is_retry, is_surplus))
            admission = Admission.WITHIN_LIMIT
            if is_surplus:
                admission = Admission.SURPLUS
            return ChargeResult(request.ask_id, admission, 0)
        share = view.reachable_share(now_us)
        pace = self._policy.pace(customer, share)
        if not request.is_retry and _pace_wait_us(meter, pace, now_us):
            admission = Admission.REFUSED
        else:
            admission = self._admission(meter, request, customer, view, now_us)
        if admission is Admission.REFUSED:
            meter.refused_us = now_us
            wait_us = self._wait_us(meter, pace, now_us)
            return ChargeResult(request.ask_id, admission, wait_us)
        is_surplus = admission is Admission.SURPLUS
        meter.add(key, Admitted(now_us, request.is_retry, is_surplus))
        if not request.is_retry:
            self._advance_pace(meter, pace, now_us)
        return ChargeResult(request.ask_id, admission, 0)

    def cancel(self, sender: str, ask_id: int, customer: str) -> bool:
        """Withdraw an admission; return False if there is none."""
        meter = self._meters.get(customer)
        key = admission_key(sender, ask_id)
        return meter is not None and meter.remove(key)

    def charge_local_share(
        self,
        customer: CustomerSpec,
        hosts: int,
        isolated_since_us: int,
        now_us: int,
    ) -> ChargeResult:
        """Admit or refuse one request from this host's share of the limit.

        The rate is shared evenly among `hosts` hosts. The share accrues from
        the time at which this host was isolated, so that many isolated hosts
        together get no burst.
        """
        if not customer.rate_per_s:
            return ChargeResult(0, Admission.WITHIN_LIMIT, 0)
        rate_per_s = customer.rate_per_s / max(1, hosts)
        bucket = self._local_buckets.get(customer.name)
        if bucket is None or bucket.created_us != isolated_since_us:
            bucket = TokenBucket(rate_per_s, 1, isolated_since_us, level=0)
            self._local_buckets[customer.name] = bucket
        elif not math.isclose(bucket.rate_per_s, rate_per_s):
            bucket.resize(rate_per_s, 1, now_us)
        if bucket.take(now_us):
            return ChargeResult(0, Admission.WITHIN_LIMIT, 0)
        return ChargeResult(0, Admission.REFUSED, bucket.wait_us(now_us))

    def customers(self, now_us: int) -> list[str]:
        """List the customers with admissions; forget the others."""
        horizon_us = now_us - self._policy.metered_us
        for name, meter in list(self._meters.items()):
            meter.expire(horizon_us)
            if not meter:
                self._meters.pop(name)
        return list(self._meters)

    def copy_admission(
        self,
        sender: str,
        ask_id: int,
        customer: str,
        now_us: int,
    ) -> MeterCopy:
        """Build the copy of one admission, or of its withdrawal."""
        key = admission_key(sender, ask_id)
        meter = self._meters.get(customer)
        admitted = None if meter is None else meter.find(key)
        if admitted is None:
            return MeterCopy(customer, (), (key,), 0, 0)
        return MeterCopy(customer, (_entry(key, admitted, now_us),), (), 0, 0)

    def copy_meter(
        self,
        customer: str,
        unknown: Periods,
        now_us: int,
    ) -> Iterator[MeterCopy]:
        """Build the copies that carry all admissions of a customer.

        One copy is built if there are none.
        """
        meter = self._meter(customer, now_us)
        entries = [
            _entry(key, admitted, now_us) for key, admitted in meter.entries()
        ]
        start_us = now_us - self._policy.metered_us
        known_since_us = max(
            (
                period.end_us
                for period in subtract_periods(unknown, meter.covered)
            ),
            default=start_us,
        )
        known_since_us = max(start_us, known_since_us)
        for start in range(0, max(1, len(entries)), MAX_COPIED_ENTRIES):
            yield MeterCopy(
                customer,
                tuple(entries[start : start + MAX_COPIED_ENTRIES]),
                (),
                now_us - known_since_us,
                len(entries),
                is_whole=True,
            )

    def unreconciled(
        self, customer: str, absences: Iterable[Absence]
    ) -> Periods:
        """Return the absences whose admissions nobody has copied since."""
        meter = self._meters.get(customer)
        reconciled = () if meter is None else meter.reconciled
        return subtract_periods(
            (absence.period for absence in absences), reconciled
        )

    def gap(self, customer: str, unknown: Periods, now_us: int) -> Periods:
        """Return the unknown periods of the window that nobody has copied."""
        window = Period(now_us - self._policy.metered_us, now_us)
        meter = self._meter(customer, now_us)
        return subtract_periods(
            (period.clip(window) for period in unknown), meter.covered
        )

    def merge(
        self,
        copy: MeterCopy,
        now_us: int,
        absences: Periods = (),
    ) -> None:
        """Merge admissions that another host copied to this one.

        `absences` are the periods in which that host was out of reach.
        """
        meter = self._meter(copy.customer, now_us)
        for entry in copy.entries:
            at_us = now_us - entry.age_us
            admitted = Admitted(at_us, entry.is_retry, is_copied=True)
            meter.add(entry.key, admitted)
        for key in copy.cancelled:
            meter.remove(key)
        # Less has arrived if another part of the copy was lost.
        if copy.known_us and len(meter) >= copy.total:
            known = Period(now_us - copy.known_us, now_us)
            meter.covered = merge_period(meter.covered, known)
            for absence in absences:
                part = absence.clip(known)
                if part.length_us:
                    meter.reconciled = merge_period(meter.reconciled, part)

    def _admission(
        self,
        meter: Meter,
        request: ChargeRequest,
        customer: CustomerSpec,
        view: FleetView,
        now_us: int,
    ) -> Admission:
        budget = self._policy.budget(customer)
        window = Period(now_us - self._policy.metered_us, now_us)
        unknown = self.gap(customer.name, view.unknown, now_us)
        absent_share = self._absent_share(meter, view.absences, window)
        assumed = self._assumed(meter, customer, unknown, absent_share)
        total = len(meter) + assumed
        if total >= budget.total:
            return Admission.REFUSED
        if request.is_retry:
            return Admission.WITHIN_LIMIT
        if meter.first_sends + assumed < budget.guaranteed:
            return Admission.WITHIN_LIMIT
        if not unknown and total < budget.surplus:
            return Admission.SURPLUS
        return Admission.REFUSED

    def _assumed(
        self,
        meter: Meter,
        customer: CustomerSpec,
        unknown: Periods,
        absent_share: float,
    ) -> float:
        """Return how many admissions other hosts are assumed to have made.

        Those that were copied to this host are not counted again, also those
        that it received as soon as it continued.
        """
        guaranteed = self._policy.budget(customer).guaranteed
        even_use = max(0, guaranteed - _reserved_burst(customer))
        unknown_share = 0.0
        copied = 0
        for period in unknown:
            unknown_share += period.length_us / self._policy.metered_us
            end_us = period.end_us + SLICE_US
            copied += meter.count_copied(Period(period.start_us, end_us))
        by_absent = (1 - unknown_share) * absent_share * guaranteed
        return by_absent + max(0, unknown_share * even_use - copied)

    def _absent_share(
        self,
        meter: Meter,
        absences: Iterable[Absence],
        window: Period,
    ) -> float:
        """Return the mean share of hosts whose admissions are not known."""
        total = sum(
            absence.share * part.length_us
            for absence in absences
            for part in subtract_periods(
                (absence.period.clip(window),),
                meter.reconciled,
            )
        )
        return total / self._policy.metered_us

    def _advance_pace(self, meter: Meter, pace: Pace, now_us: int) -> None:
        paced_us = max(meter.paced_until_us, now_us) + pace.interval_us
        latest_us = now_us + self._policy.metered_us
        meter.paced_until_us = int(min(paced_us, latest_us))

    def _wait_us(self, meter: Meter, pace: Pace, now_us: int) -> int:
        """Return the time after which a refused caller may succeed."""
        wait_us = _pace_wait_us(meter, pace, now_us)
        if not wait_us:
            oldest_us = meter.oldest_us()
            wait_us = int(pace.interval_us)
            if oldest_us is not None:
                wait_us = oldest_us + self._policy.metered_us - now_us
        return max(MIN_RETRY_AFTER_US, wait_us)

    def _meter(self, name: str, now_us: int) -> Meter:
        meter = self._meters.setdefault(name, Meter())
        meter.expire(now_us - self._policy.metered_us)
        return meter


def _pace_wait_us(meter: Meter, pace: Pace, now_us: int) -> int:
    """Return the time until the pace of a refused customer admits more."""
    if meter.refused_us is None:
        return 0
    if now_us - meter.refused_us > pace.enforced_us:
        return 0
    lead_us = pace.lead_requests * pace.interval_us
    return max(0, int(meter.paced_until_us - now_us - lead_us))


def _reserved_burst(customer: CustomerSpec) -> float:
    return max(1, customer.burst_requests * RESERVED_BURST_SHARE)


def _entry(key: int, admitted: Admitted, now_us: int) -> MeterEntry:
    return MeterEntry(key, now_us - admitted.at_us, admitted.is_retry)
