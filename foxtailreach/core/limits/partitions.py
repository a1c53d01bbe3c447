"""Quota partitions, the shares of a customer's limit that hosts hold.

Customers are hashed into groups, and each group has a fixed number of
partitions. A partition owns an integer share of the rate and burst of every
customer in its group. The order of the claims in the log decides which host
holds it. The log and the messages call a partition a `seat`.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from foxtailreach.config.objects import Limit
from foxtailreach.core.ranking import rank_candidates

PARTITION_GROUPS = 16
PARTITIONS_PER_GROUP = 3


def group_of(customer: str) -> int:
    """Return the group of a customer."""
    return int(xxhash.xxh64_intdigest(customer.encode())) % PARTITION_GROUPS


def key_of_partition(group: int, partition_index: int) -> str:
    """Return the key of a partition in the log."""
    return f'{group}/{partition_index}'


def all_partitions() -> list[str]:
    """List the keys of all partitions."""
    return [
        key_of_partition(group, partition_index)
        for group in range(PARTITION_GROUPS)
        for partition_index in range(PARTITIONS_PER_GROUP)
    ]


def domain_of_partition(
    partition_key: str, domains: Iterable[str]
) -> str | None:
    """Return the failure domain in which a partition should be held."""
    group, _, index = partition_key.partition('/')
    ranked = rank_candidates(domains, group)
    if not ranked:
        return None
    return ranked[int(index) % len(ranked)]


def limit_of_partition(limit: Limit, partition_index: int) -> Limit | None:
    """Return the integer share of a limit that belongs to a partition.

    None means that this partition's share of the rate or of the burst is 0.
    If no share is None, the shares of all partitions add up to the limit.
    """
    rate = _share(limit.rate_per_s, partition_index)
    burst = _share(limit.burst_requests, partition_index)
    if not rate or not burst:
        return None
    return Limit(rate_per_s=rate, burst_requests=burst)


def _share(total: int, partition_index: int) -> int:
    return total // PARTITIONS_PER_GROUP + (
        partition_index < total % PARTITIONS_PER_GROUP
    )
