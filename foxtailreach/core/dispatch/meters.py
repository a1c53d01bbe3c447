"""Fleet-wide rate limits, metered per customer on the owner host.

The owner of a customer's meter is the host that ranks first for the customer
by rendezvous hashing.

Load pattern: one customer sends many times its rate through all hosts at
once. Requests within rate and burst are admitted. Those within the tolerance
that operators allow beyond it are admitted as surplus, which is served only
while no other request waits.

A host that cannot reach the owner uses an even share of the rate, and the
owner subtracts the shares of unreachable hosts from its own.

A new owner does not know what the previous one admitted, for instance after
all hosts were killed. It assumes that the limit was used up evenly, which
delays no customer that stays within its rate. A previous owner that still runs
hands over its admissions, because a customer may have used up its whole window
just before.
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

# The owner keeps at least this share of the limit, however many hosts are
# unreachable: restarting hosts return within seconds, and the tolerance covers
# their share.
MIN_OWNER_SHARE = 0.7
# Burst of a host that uses its even share of the rate.
LOCAL_BURST_REQUESTS = 1.0
# Share of the tolerance that is admitted as surplus; the rest covers hosts that
# cannot reach the owner.
SURPLUS_SHARE = 0.5
# Share of the burst that a new owner admits at once.
NEW_OWNER_BURST_SHARE = 0.25
# A meter younger than this holds only admissions since the owner changed.
NEW_METER_US = SECOND_US


@dataclass(slots=True, frozen=True)
class LimitPolicy:
    """Sliding window of the limits, and the tolerance beyond them.

    The tolerance is the `overage` share of the limit plus `slack` requests.
    """

    window_us: int
    overage: float
    slack: float

    def guaranteed_requests(self, customer: CustomerSpec) -> float:
        """Return how many requests of a customer a window must admit."""
        rate = customer.rate_per_s * self.window_us / SECOND_US
        return rate + customer.burst_requests

    def surplus_requests(self, customer: CustomerSpec) -> float:
        """Return how many requests a window may admit beyond the limit."""
        tolerance = (
            self.guaranteed_requests(customer) * self.overage + self.slack
        )
        return tolerance * SURPLUS_SHARE


@dataclass(slots=True, frozen=True)
class FleetView:
    """What an owner knows of the hosts that may admit requests elsewhere.

    `reachable_share` is the share of the known hosts that is reachable;
    `stable_us` is the time since the membership last changed.
    """

    reachable_share: float
    stable_us: int


@dataclass(slots=True)
class Meter:
    """Times of a customer's admissions, the oldest first.

    `assumed` are admissions that an earlier owner may have made while it had
    `assumed_share` of the limit.
    """

    started_us: int
    assumed_share: float
    assumed: deque[int]
    admitted: deque[int] = field(default_factory=deque)

    @classmethod
    def assume_even_use(
        cls,
        count: int,
        window_us: int,
        share: float,
        now_us: int,
    ) -> Meter:
        """Create a meter with `count` assumed admissions.

        They are spread evenly over the last window.
        """
        timestamps_us = (
            now_us - window_us + window_us * index // count
            for index in range(1, count + 1)
        )
        return cls(now_us, share, deque(timestamps_us))

    def count(self, share: float) -> float:
        """Count the admissions; assumed ones shrink with `share`."""
        factor = min(1, share / self.assumed_share)
        return len(self.admitted) + factor * len(self.assumed)

    def oldest_us(self, now_us: int) -> int:
        """Return the time of the oldest admission, or `now_us` if none."""
        timestamps_us = [
            times[0] for times in (self.admitted, self.assumed) if times
        ]
        return min(timestamps_us, default=now_us)

    def expire(self, horizon_us: int) -> None:
        """Drop the admissions up to a time."""
        for times in (self.admitted, self.assumed):
            while times and times[0] <= horizon_us:
                times.popleft()


class CustomerMeters:
    """Meters of the customers that this host owns."""

    __slots__ = ('_local_buckets', '_meters', '_policy')

    def __init__(self, policy: LimitPolicy) -> None:
        """Create meters without admissions."""
        self._policy = policy
        self._meters: dict[str, Meter] = {}
        self._local_buckets: dict[str, TokenBucket] = {}

    def charge(
        self,
        request: ChargeRequest,
        customer: CustomerSpec | None,
        view: FleetView,
        now_us: int,
    ) -> ChargeResult:
        """Admit or refuse one request as the owner of the customer's meter."""
        if customer is None or not customer.rate_per_s:
            return ChargeResult(request.ask_id, Admission.WITHIN_LIMIT, 0)
        share = max(MIN_OWNER_SHARE, view.reachable_share)
        guaranteed = self._policy.guaranteed_requests(customer) * share
        assumed = guaranteed - max(
            1,
            customer.burst_requests * NEW_OWNER_BURST_SHARE,
        )
        if view.stable_us > self._policy.window_us:
            # No other host owned this customer within the window.
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
        """Admit or refuse one request from this host's share of the limit.

        The limit is shared evenly among `hosts` hosts.
        """
        if not customer.rate_per_s:
            return ChargeResult(0, Admission.WITHIN_LIMIT, 0)
        rate_per_s = customer.rate_per_s / max(1, hosts)
        bucket = self._local_buckets.get(customer.name)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, LOCAL_BURST_REQUESTS, now_us)
            self._local_buckets[customer.name] = bucket
        elif not math.isclose(bucket.rate_per_s, rate_per_s):
            bucket.resize(rate_per_s, LOCAL_BURST_REQUESTS, now_us)
        if bucket.take(now_us):
            return ChargeResult(0, Admission.WITHIN_LIMIT, 0)
        return ChargeResult(0, Admission.REFUSED, bucket.wait_us(now_us))

    def hand_over(self, now_us: int) -> list[MeterHandover]:
        """Return the admissions of each customer within the window."""
        handovers = []
        for name, meter in self._meters.items():
            meter.expire(now_us - self._policy.window_us)
            ages_us = tuple(
                now_us - admitted_us for admitted_us in meter.admitted
            )
            if ages_us:
                handovers.append(MeterHandover(name, ages_us))
        return handovers

    def take_over(self, handover: MeterHandover, now_us: int) -> None:
        """Replace assumed admissions by those of the previous owner.

        The previous owner keeps its meter for hosts that still send it
        requests, so an older meter here may already hold the same admissions.
        """
        meter = self._meters.setdefault(
            handover.customer,
            Meter(now_us, 1, deque()),
        )
        meter.assumed.clear()
        timestamps_us = [now_us - age_us for age_us in handover.ages_us]
        if now_us - meter.started_us < NEW_METER_US:
            timestamps_us.extend(meter.admitted)
        if len(timestamps_us) > len(meter.admitted):
            meter.admitted = deque(sorted(timestamps_us))

    def _admission(
        self,
        meter: Meter,
        customer: CustomerSpec,
        share: float,
        now_us: int,
    ) -> Admission:
        count = meter.count(share)
        guaranteed = self._policy.guaranteed_requests(customer) * share
        if count < guaranteed:
            return Admission.WITHIN_LIMIT
        has_full_window = now_us - meter.started_us > self._policy.window_us
        surplus = self._policy.surplus_requests(customer) * share
        if has_full_window and count < guaranteed + surplus:
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
            meter = Meter.assume_even_use(assumed, window_us, share, now_us)
            self._meters[name] = meter
        meter.expire(now_us - window_us)
        return meter
