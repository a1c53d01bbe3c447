"""Token buckets and the currency of knowledge, case by case."""

from __future__ import annotations

import pytest

from foxtailreach.config.objects import Limit
from foxtailreach.core import messages
from foxtailreach.core.limits.bucket import LOAN_VALID_US, LeasingBucket
from foxtailreach.core.limits.client import Admission, LimitClient
from foxtailreach.core.limits.seats import SEATS, part_of_limit
from foxtailreach.core.log_freshness import CURRENT_US, LogFreshness

SECOND_US = 1_000_000


@pytest.mark.parametrize(
    ('rate', 'burst'),
    [(1, 1), (2, 5), (3, 3), (100, 10), (239, 241)],
)
def test_parts_add_up_to_the_limit(rate: int, burst: int) -> None:
    parts = [part_of_limit(Limit(rate, burst), seat) for seat in range(SEATS)]
    held = [part for part in parts if part is not None]
    assert sum(part.rate_per_s for part in held) <= rate
    assert sum(part.burst_requests for part in held) <= burst
    if rate >= SEATS and burst >= SEATS:
        assert sum(part.rate_per_s for part in held) == rate
        assert sum(part.burst_requests for part in held) == burst


def test_lent_tokens_count_against_the_burst_until_they_expire() -> None:
    bucket = LeasingBucket(Limit(10, 10), 10, 0)
    assert bucket.grant_lease('entry', 1, 10, 0) == 10
    just_before_us = LOAN_VALID_US - 1
    assert bucket.grant_lease('entry', 2, 10, just_before_us) == 0
    assert bucket.grant_lease('entry', 3, 10, LOAN_VALID_US + SECOND_US) == 10


def test_repeated_token_request_is_granted_once() -> None:
    bucket = LeasingBucket(Limit(10, 10), 10, 0)
    assert bucket.grant_lease('entry', 1, 2, 0) == 2
    assert bucket.grant_lease('entry', 1, 2, 0) == 0
    assert bucket.grant_lease('other', 1, 2, 0) == 2


@pytest.mark.parametrize(
    ('returned', 'again', 'available'),
    [(3, False, 8), (3, True, 8), (9, False, 10)],
)
def test_returned_tokens_are_credited_once(
    returned: int,
    again: bool,
    available: int,
) -> None:
    bucket = LeasingBucket(Limit(1, 10), 10, 0)
    assert bucket.grant_lease('entry', 1, 5, 0) == 5
    bucket.take_back('entry', 1, returned, 0)
    if again:
        bucket.take_back('entry', 1, returned, 0)
    assert bucket.grant_lease('entry', 2, 20, 0) == available


@pytest.mark.parametrize(
    ('delay_us', 'is_granted'),
    [(1000, True), (LOAN_VALID_US - 1, True), (LOAN_VALID_US, False)],
)
def test_grant_expires_from_the_moment_of_the_request(
    delay_us: int,
    is_granted: bool,
) -> None:
    client = LimitClient(lambda seat: 'holder', lambda group: (0,), 1)
    client.spend('customer', 'request', 0)
    grant = messages.TokenGrant('customer', 2, 0, 1, LOAN_VALID_US, 0, True)
    step = client.handle_grant(grant, delay_us)
    granted = [
        decision.admission is Admission.GRANTED for decision in step.decisions
    ]
    assert granted == ([True] if is_granted else [])


@pytest.mark.parametrize(
    ('seats', 'admission'),
    [
        ((True, True, True), Admission.OVER_LIMIT),
        ((True, False, True), Admission.UNAVAILABLE),
        ((False, False, False), Admission.UNAVAILABLE),
    ],
)
def test_over_limit_is_said_only_when_every_seat_was_asked(
    seats: tuple[bool, ...],
    admission: Admission,
) -> None:
    client = LimitClient(lambda seat: 'holder', lambda group: (0, 1, 2), 0)
    client.spend('customer', 'request', 0)
    for sequence, is_holder in enumerate(seats, 1):
        grant = messages.TokenGrant(
            'customer', sequence, sequence - 1, 0, 0, SECOND_US, is_holder
        )
        step = client.handle_grant(grant, 0)
    assert [one.admission for one in step.decisions] == [admission]


@pytest.mark.parametrize(
    ('read_age_us', 'peer_ages_us', 'is_current'),
    [
        (0, (), True),
        (CURRENT_US + 1, (), False),
        (CURRENT_US + 1, (0,), False),
        (CURRENT_US + 1, (CURRENT_US + 5,), True),
        (CURRENT_US + 1, (CURRENT_US + 5, 10), False),
    ],
)
def test_copy_of_the_log_is_usable_if_nobody_in_reach_knows_more(
    read_age_us: int,
    peer_ages_us: tuple[int, ...],
    is_current: bool,
) -> None:
    now_us = 100 * SECOND_US
    log_freshness = LogFreshness()
    log_freshness.expect_peers(has_peers=True)
    log_freshness.record_read(now_us - read_age_us)
    for index, age_us in enumerate(peer_ages_us):
        log_freshness.record_peer(f'peer-{index}', age_us, now_us)
    assert log_freshness.is_current(now_us) is is_current
