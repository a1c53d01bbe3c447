"""Token leases, partitions of a limit, and the freshness of the log copy."""

from __future__ import annotations

import pytest

from foxtailreach.config.objects import Limit
from foxtailreach.core import messages
from foxtailreach.core.limits.bucket import LEASE_VALID_US, LeasingBucket
from foxtailreach.core.limits.client import Admission, LimitClient
from foxtailreach.core.limits.partitions import (
    PARTITIONS_PER_GROUP,
    limit_of_partition,
)
from foxtailreach.core.log_freshness import MAX_CURRENT_AGE_US, LogFreshness

SECOND_US = 1_000_000


@pytest.mark.parametrize(
    ('rate', 'burst'),
    [(1, 1), (2, 5), (3, 3), (100, 10), (239, 241)],
)
def test_partition_limits_add_up_to_the_limit(rate: int, burst: int) -> None:
    shares = [
        limit_of_partition(Limit(rate, burst), partition_index)
        for partition_index in range(PARTITIONS_PER_GROUP)
    ]
    held = [share for share in shares if share is not None]
    assert sum(share.rate_per_s for share in held) <= rate
    assert sum(share.burst_requests for share in held) <= burst
    if rate >= PARTITIONS_PER_GROUP and burst >= PARTITIONS_PER_GROUP:
        assert sum(share.rate_per_s for share in held) == rate
        assert sum(share.burst_requests for share in held) == burst


def test_leased_tokens_count_against_the_burst_until_they_expire() -> None:
    bucket = LeasingBucket(Limit(10, 10), 10, 0)
    assert bucket.grant_lease('entry', 1, 10, 0) == 10
    just_before_us = LEASE_VALID_US - 1
    assert bucket.grant_lease('entry', 2, 10, just_before_us) == 0
    assert bucket.grant_lease('entry', 3, 10, LEASE_VALID_US + SECOND_US) == 10


def test_repeated_token_request_is_granted_once() -> None:
    bucket = LeasingBucket(Limit(10, 10), 10, 0)
    assert bucket.grant_lease('entry', 1, 2, 0) == 2
    assert bucket.grant_lease('entry', 1, 2, 0) == 0
    assert bucket.grant_lease('other', 1, 2, 0) == 2


@pytest.mark.parametrize(
    ('returned', 'is_resent', 'available'),
    [(3, False, 8), (3, True, 8), (9, False, 10)],
)
def test_returned_tokens_are_credited_once(
    returned: int,
    is_resent: bool,
    available: int,
) -> None:
    bucket = LeasingBucket(Limit(1, 10), 10, 0)
    assert bucket.grant_lease('entry', 1, 5, 0) == 5
    bucket.return_lease('entry', 1, returned, 0)
    if is_resent:
        bucket.return_lease('entry', 1, returned, 0)
    assert bucket.grant_lease('entry', 2, 20, 0) == available


@pytest.mark.parametrize(
    ('delay_us', 'is_granted'),
    [(1000, True), (LEASE_VALID_US - 1, True), (LEASE_VALID_US, False)],
)
def test_grant_validity_counts_from_the_token_request(
    delay_us: int,
    is_granted: bool,
) -> None:
    client = LimitClient(lambda partition_key: 'holder', lambda group: (0,), 1)
    client.spend('customer', 'request', 0)
    grant = messages.TokenGrant('customer', 2, 0, 1, LEASE_VALID_US, 0, True)
    limit_result = client.handle_grant(grant, delay_us)
    granted = [
        decision.admission is Admission.GRANTED
        for decision in limit_result.decisions
    ]
    assert granted == ([True] if is_granted else [])


@pytest.mark.parametrize(
    ('is_holder_by_partition', 'admission'),
    [
        ((True, True, True), Admission.OVER_LIMIT),
        ((True, False, True), Admission.UNAVAILABLE),
        ((False, False, False), Admission.UNAVAILABLE),
    ],
)
def test_over_limit_is_reported_only_if_every_holder_was_asked(
    is_holder_by_partition: tuple[bool, ...],
    admission: Admission,
) -> None:
    client = LimitClient(
        lambda partition_key: 'holder', lambda group: (0, 1, 2), 0
    )
    client.spend('customer', 'request', 0)
    for sequence, is_holder in enumerate(is_holder_by_partition, 1):
        grant = messages.TokenGrant(
            'customer', sequence, sequence - 1, 0, 0, SECOND_US, is_holder
        )
        limit_result = client.handle_grant(grant, 0)
    assert [one.admission for one in limit_result.decisions] == [admission]


@pytest.mark.parametrize(
    ('read_age_us', 'peer_ages_us', 'is_current'),
    [
        (0, (), True),
        (MAX_CURRENT_AGE_US + 1, (), False),
        (MAX_CURRENT_AGE_US + 1, (0,), False),
        (MAX_CURRENT_AGE_US + 1, (MAX_CURRENT_AGE_US + 5,), True),
        (MAX_CURRENT_AGE_US + 1, (MAX_CURRENT_AGE_US + 5, 10), False),
        # A peer without a copy knows nothing newer.
        (MAX_CURRENT_AGE_US + 1, (-1,), True),
        (MAX_CURRENT_AGE_US + 1, (-1, 10), False),
    ],
)
def test_log_copy_is_current_unless_a_reachable_peer_has_newer(
    read_age_us: int,
    peer_ages_us: tuple[int, ...],
    is_current: bool,
) -> None:
    now_us = 100 * SECOND_US
    log_freshness = LogFreshness()
    log_freshness.record_host_list(has_peers=True)
    log_freshness.record_read(now_us - read_age_us)
    for index, age_us in enumerate(peer_ages_us):
        heard_us = now_us - SECOND_US // 10
        log_freshness.record_peer(f'peer-{index}', age_us, heard_us)
    assert log_freshness.is_current(now_us) is is_current
