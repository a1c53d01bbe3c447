"""Fleet-wide limits while one customer sends many times its rate."""

from __future__ import annotations

import itertools

import pytest

from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.messages import Admission, ChargeRequest
from foxtailreach.core.dispatch.meter import Period
from foxtailreach.core.dispatch.meters import (
    Absence,
    CustomerMeters,
    FleetView,
    LimitPolicy,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

POLICY = LimitPolicy(window_us=5 * SECOND_US, overage=0.1, slack=20)
CUSTOMER = CustomerSpec('c', rate_per_s=40, burst_requests=40)
# Requests that POLICY allows in a window, with the tolerance.
ALLOWED = (40 * 5 + 40) * 1.1 + 20
START_US = 50 * SECOND_US
ASK_IDS = itertools.count(1)
# A host that has just become an owner knows nothing of the time before.
NEW_OWNER = (Period(0, START_US),)


def charge(
    meters: CustomerMeters,
    now_us: int,
    share: float = 1,
    unknown: tuple[Period, ...] = NEW_OWNER,
) -> Admission:
    request = ChargeRequest(next(ASK_IDS), CUSTOMER.name)
    always = Period(0, now_us)
    view = FleetView(unknown, (Absence(always, 1 - share),))
    return meters.charge('h1', request, CUSTOMER, view, now_us).admission


def copy_meter(
    source: CustomerMeters,
    target: CustomerMeters,
    unknown: tuple[Period, ...],
    now_us: int,
) -> None:
    """Copy all admissions of a customer to another host."""
    for copy in source.copy_meter(CUSTOMER.name, unknown, now_us):
        target.merge(copy, now_us)


def max_in_window(timestamps_us: list[int]) -> int:
    """Return the largest number of admissions in any window."""
    return max(
        sum(
            start <= admitted_us < start + POLICY.window_us
            for admitted_us in timestamps_us
        )
        for start in timestamps_us
    )


@pytest.mark.parametrize('rate_per_s', [60, 320])
def test_customer_over_its_rate_gets_no_more_than_its_limit(
    rate_per_s: int,
) -> None:
    meters = CustomerMeters(POLICY)
    admitted = []
    for count in range(rate_per_s * 12):
        now_us = START_US + count * SECOND_US // rate_per_s
        if charge(meters, now_us) is not Admission.REFUSED:
            admitted.append(now_us)
    assert max_in_window(admitted) <= ALLOWED
    assert len(admitted) >= 40 * 12


def test_killed_fleet_does_not_admit_the_limit_twice() -> None:
    """All hosts are killed for 1 s; a customer sends 8 times its rate."""
    admitted = []
    for started_s, ended_s in ((0, 13), (14, 24)):
        meters = CustomerMeters(POLICY)
        unknown = (Period(0, START_US + started_s * SECOND_US),)
        for count in range((ended_s - started_s) * 320):
            now_us = START_US + started_s * SECOND_US
            now_us += count * SECOND_US // 320
            if charge(meters, now_us, unknown=unknown) is not Admission.REFUSED:
                admitted.append(now_us)
    assert max_in_window(admitted) <= ALLOWED


def test_customer_within_its_rate_is_never_refused_by_a_new_owner() -> None:
    meters = CustomerMeters(POLICY)
    for count in range(400):
        now_us = START_US + count * 25 * MILLISECOND_US
        assert charge(meters, now_us) is Admission.WITHIN_LIMIT


def test_isolated_hosts_keep_the_sum_within_the_limit() -> None:
    """14 of 40 hosts are isolated and admit as much as they can."""
    owner = CustomerMeters(POLICY)
    isolated = [CustomerMeters(POLICY) for _ in range(14)]
    admitted = []
    for count in range(4000):
        now_us = START_US + count * 3 * MILLISECOND_US
        if charge(owner, now_us, 26 / 40) is not Admission.REFUSED:
            admitted.append(now_us)
        for meters in isolated:
            result = meters.charge_local_share(CUSTOMER, 40, START_US, now_us)
            if result.admission is not Admission.REFUSED:
                admitted.append(now_us)
    assert max_in_window(sorted(admitted)) <= ALLOWED


def test_surplus_is_marked() -> None:
    meters = CustomerMeters(POLICY)
    seen = {
        charge(meters, START_US + count * 10 * MILLISECOND_US)
        for count in range(1000)
    }
    assert Admission.SURPLUS in seen


def test_first_owner_grants_the_whole_burst() -> None:
    """A customer starts with its burst, long after the hosts started."""
    meters = CustomerMeters(POLICY)
    for _ in range(40 * 5 + 40):
        admission = charge(meters, START_US, unknown=())
        assert admission is Admission.WITHIN_LIMIT


def test_customer_within_its_rate_is_served_while_hosts_are_lost() -> None:
    """A new owner loses contact with a third of the hosts 1 s later."""
    meters = CustomerMeters(POLICY)
    for count in range(200):
        now_us = START_US + count * 40 * MILLISECOND_US
        share = 1 if count < 25 else 0.67
        assert charge(meters, now_us, share) is Admission.WITHIN_LIMIT


def test_owner_that_leaves_hands_its_admissions_over() -> None:
    """A customer uses up its window at once, then the owner stops."""
    meters = CustomerMeters(POLICY)
    admitted = []
    unknown: tuple[Period, ...] = ()
    for count in range(2400):
        now_us = START_US + count * 3 * MILLISECOND_US
        if count == 600:
            successor = CustomerMeters(POLICY)
            unknown = (Period(0, now_us),)
            # Requests reach the new owner before the copy.
            for _ in range(5):
                admission = charge(successor, now_us, unknown=unknown)
                if admission is not Admission.REFUSED:
                    admitted.append(now_us)
            copy_meter(meters, successor, (), now_us)
            meters = successor
        admission = charge(meters, now_us, unknown=unknown)
        if admission is not Admission.REFUSED:
            admitted.append(now_us)
    assert max_in_window(admitted) <= ALLOWED


def test_meter_that_moves_twice_keeps_its_admissions() -> None:
    """The owner of a customer over its rate stops, and is back 2 s later."""
    first, second = CustomerMeters(POLICY), CustomerMeters(POLICY)
    owners = [(0, first), (600, second), (1300, CustomerMeters(POLICY))]
    meters = first
    admitted = []
    unknown: tuple[Period, ...] = ()
    for count in range(2400):
        now_us = START_US + count * 3 * MILLISECOND_US
        for start, owner in owners:
            if count == start and owner is not meters:
                copy_meter(meters, owner, (), now_us)
                # A host unaware of the change charges the old owner.
                admission = charge(meters, now_us, unknown=unknown)
                if admission is not Admission.REFUSED:
                    admitted.append(now_us)
                meters = owner
                unknown = (Period(0, now_us),)
        admission = charge(meters, now_us, unknown=unknown)
        if admission is not Admission.REFUSED:
            admitted.append(now_us)
    assert max_in_window(admitted) <= ALLOWED


def test_repeated_handover_refuses_nobody_within_the_rate() -> None:
    """Hosts join and leave every second; each time the meter is sent again."""
    meters, copy = CustomerMeters(POLICY), CustomerMeters(POLICY)
    for count in range(300):
        now_us = START_US + count * 30 * MILLISECOND_US
        assert charge(meters, now_us, unknown=()) is Admission.WITHIN_LIMIT
        if count % 33 == 0:
            copy_meter(meters, copy, (), now_us)
            copy_meter(copy, meters, (), now_us)


def test_charge_sent_again_counts_once() -> None:
    """A charge and its answer may be lost; two hosts hold the meter."""
    first, second = CustomerMeters(POLICY), CustomerMeters(POLICY)
    view = FleetView()
    for count in range(40 * 5 + 40):
        request = ChargeRequest(1000 + count, CUSTOMER.name)
        for meters in (first, first, second):
            result = meters.charge('h1', request, CUSTOMER, view, START_US)
            assert result.admission is Admission.WITHIN_LIMIT
        copy = first.copy_admission('h1', request.ask_id, 'c', START_US)
        second.merge(copy, START_US)
        second.merge(copy, START_US)


def test_renewed_admission_counts_from_its_renewal() -> None:
    """A request waits for a slot for longer than the window."""
    meters = CustomerMeters(POLICY)
    view = FleetView()
    waiting = [ChargeRequest(2000 + count, CUSTOMER.name) for count in range(9)]
    for request in waiting:
        meters.charge('h1', request, CUSTOMER, view, START_US)
    sent_us = START_US + 5 * SECOND_US
    for request in waiting:
        meters.charge('h1', request, CUSTOMER, view, sent_us)
    admitted = 0
    later_us = sent_us + 4 * SECOND_US
    while charge(meters, later_us, unknown=()) is Admission.WITHIN_LIMIT:
        admitted += 1
    assert admitted + len(waiting) <= ALLOWED


def test_cancelled_charge_is_admitted_again() -> None:
    meters = CustomerMeters(POLICY)
    view = FleetView()
    request = ChargeRequest(3000, CUSTOMER.name)
    for _ in range(2 * 240):
        result = meters.charge('h1', request, CUSTOMER, view, START_US)
        assert result.admission is Admission.WITHIN_LIMIT
        assert meters.cancel('h1', request.ask_id, CUSTOMER.name)


def test_part_of_a_copy_covers_nothing() -> None:
    """One of two messages with a large meter is lost."""
    customer = CustomerSpec('large', rate_per_s=400, burst_requests=400)
    meters, copy = CustomerMeters(POLICY), CustomerMeters(POLICY)
    for ask_id in range(1500):
        request = ChargeRequest(ask_id, 'large')
        meters.charge('h1', request, customer, FleetView(), START_US)
    admitted: list[int] = []
    for part in meters.copy_meter('large', (), START_US):
        copy.merge(part, START_US)
        before = len(admitted)
        for ask_id in range(2000 + before, 6000):
            request = ChargeRequest(ask_id, 'large')
            view = FleetView(NEW_OWNER)
            result = copy.charge('h1', request, customer, view, START_US)
            if result.admission is Admission.REFUSED:
                break
            admitted.append(ask_id)
        if not before:
            # A quarter of the burst is admitted without any knowledge.
            assert len(admitted) <= 400 / 4
    assert len(admitted) > 400 / 4
