"""Fleet-wide limits: one meter a customer, on the host that owns it.

Load pattern: one customer sends many times its rate through all hosts at
once. Requests within rate and burst are admitted. Those within the tolerance
that operators grant beyond it are admitted as surplus, which is served only
while nobody waits. A host without contact to the owner spends an even share
of the rate, and the owner leaves the shares of such hosts out of its own. A
new owner does not know what the last one admitted, for instance after all
hosts were killed; it assumes that the limit was used up evenly, which delays
nobody who stays within the rate. Where the last owner lives, it hands over
what it admitted: a customer may have used its whole window a moment ago.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from foxtailreach.core.dispatch.budgets import TokenBucket
from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.messages import (
    Admission,
    ChargeRequest,
    ChargeResult,
    MeterHandover,
)
from foxtailreach.core.units import SECOND_US

# Hosts that restart come back within seconds, so the owner keeps most of the
# rate even if many are gone; the limit's tolerance covers the rest.
MIN_OWNER_SHARE = 0.7
LOCAL_BURST = 1.0
# The rest of the tolerance covers hosts that are out of contact.
SURPLUS_SHARE = 0.5
# Part of the burst that a new owner grants at once.
FRESH_BURST_SHARE = 0.25
# A meter this young holds only what was admitted since the last owner left.
FRESH_METER_US = SECOND_US


@dataclass(slots=True, frozen=True)
class LimitPolicy:
    """Window in which limits are judged, and the tolerance beyond them."""

    window_us: int
    overage: float
    slack: float

    def owed(self, customer: CustomerSpec) -> float:
        """Return the requests of a customer that a window must admit."""
        rate = customer.rate_per_s * self.window_us / SECOND_US
        return rate + customer.burst_requests

    def surplus(self, customer: CustomerSpec) -> float:
        """Return the requests that a window may admit beyond that."""
        tolerance = self.owed(customer) * self.overage + self.slack
        return tolerance * SURPLUS_SHARE


@dataclass(slots=True, frozen=True)
class Contact:
    """How far an owner knows what was admitted elsewhere.

    `live_share` is the part of the known hosts that is in contact;
    `settled_us` is how long no host came or went.
    """

    live_share: float
    settled_us: int


@dataclass(slots=True)
class Meter:
    """Moments of a customer's admissions, the oldest first.

    `assumed` are those that an earlier owner may have made while it had
    `assumed_share` of the limit.
    """

    started_us: int
    assumed_share: float
    assumed: deque[int]
    admitted: deque[int] = field(default_factory=deque)

    @classmethod
    def used_up(
        cls,
        count: int,
        window_us: int,
        share: float,
        now_us: int,
    ) -> Meter:
        """Assume `count` admissions, spread evenly over the last window."""
        moments = (
            now_us - window_us + window_us * index // count
            for index in range(1, count + 1)
        )
        return cls(now_us, share, deque(moments))

    def count(self, share: float) -> float:
        """Count the admissions; assumptions shrink with the share."""
        factor = min(1, share / self.assumed_share)
        return len(self.admitted) + factor * len(self.assumed)

    def oldest_us(self, now_us: int) -> int:
        """Return the moment of the oldest admission."""
        moments = [times[0] for times in (self.admitted, self.assumed) if times]
        return min(moments, default=now_us)

    def expire(self, horizon_us: int) -> None:
        """Forget the admissions before a moment."""
        for times in (self.admitted, self.assumed):
            while times and times[0] <= horizon_us:
                times.popleft()


class CustomerMeters:
    """Admissions of the customers that this host meters."""

    __slots__ = ('_local', '_meters', '_policy')

    def __init__(self, policy: LimitPolicy) -> None:
        """Start without admissions."""
        self._policy = policy
        self._meters: dict[str, Meter] = {}
        self._local: dict[str, TokenBucket] = {}

    def charge(
        self,
        request: ChargeRequest,
        customer: CustomerSpec | None,
        contact: Contact,
        now_us: int,
    ) -> ChargeResult:
        """Admit one request of a customer, or not, as its owner."""
        if customer is None or not customer.rate_per_s:
            return ChargeResult(request.ask_id, Admission.WITHIN_LIMIT, 0)
        share = max(MIN_OWNER_SHARE, contact.live_share)
        owed = self._policy.owed(customer) * share
        assumed = owed - max(1, customer.burst_requests * FRESH_BURST_SHARE)
        if contact.settled_us > self._policy.window_us:
            # Nobody else owned this customer within the window.
            assumed = 0
        meter = self._meter(customer.name, int(assumed), share, now_us)
        admission = self._admission(meter, customer, share, now_us)
        if admission is Admission.REFUSED:
            window_us = self._policy.window_us
            wait_us = meter.oldest_us(now_us) + window_us - now_us
            return ChargeResult(request.ask_id, admission, wait_us)
        meter.admitted.append(now_us)
        return ChargeResult(request.ask_id, admission, 0)

    def charge_local_share(
        self,
        customer: CustomerSpec,
        hosts: int,
        now_us: int,
    ) -> ChargeResult:
        """Spend one token of this host's even share of a limit."""
        if not customer.rate_per_s:
            return ChargeResult(0, Admission.WITHIN_LIMIT, 0)
        rate_per_s = customer.rate_per_s / max(1, hosts)
        bucket = self._local.get(customer.name)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, LOCAL_BURST, now_us)
            self._local[customer.name] = bucket
        elif not math.isclose(bucket.rate_per_s, rate_per_s):
            bucket.resize(rate_per_s, LOCAL_BURST, now_us)
        if bucket.take(now_us):
            return ChargeResult(0, Admission.WITHIN_LIMIT, 0)
        return ChargeResult(0, Admission.REFUSED, bucket.wait_us(now_us))

    def hand_over(self, now_us: int) -> list[MeterHandover]:
        """Tell the admissions of each customer within the window."""
        handovers = []
        for name, meter in self._meters.items():
            meter.expire(now_us - self._policy.window_us)
            ages_us = tuple(now_us - moment for moment in meter.admitted)
            if ages_us:
                handovers.append(MeterHandover(name, ages_us))
        return handovers

    def take_over(self, handover: MeterHandover, now_us: int) -> None:
        """Replace assumptions by what the last owner admitted.

        The last owner keeps its meter for callers that still ask it, so an
        older meter here may hold the same admissions already.
        """
        meter = self._meters.setdefault(
            handover.customer,
            Meter(now_us, 1, deque()),
        )
        meter.assumed.clear()
        moments = [now_us - age_us for age_us in handover.ages_us]
        if now_us - meter.started_us < FRESH_METER_US:
            moments.extend(meter.admitted)
        if len(moments) > len(meter.admitted):
            meter.admitted = deque(sorted(moments))

    def _admission(
        self,
        meter: Meter,
        customer: CustomerSpec,
        share: float,
        now_us: int,
    ) -> Admission:
        count = meter.count(share)
        owed = self._policy.owed(customer) * share
        if count < owed:
            return Admission.WITHIN_LIMIT
        is_settled = now_us - meter.started_us > self._policy.window_us
        surplus = self._policy.surplus(customer) * share
        if is_settled and count < owed + surplus:
            return Admission.SURPLUS
        return Admission.REFUSED

    def _meter(
        self,
        name: str,
        assumed: int,
        share: float,
        now_us: int,
    ) -> Meter:
        window_us = self._policy.window_us
        meter = self._meters.get(name)
        if meter is None:
            meter = Meter.used_up(assumed, window_us, share, now_us)
            self._meters[name] = meter
        meter.expire(now_us - window_us)
        return meter
