"""Holder side of fleet-wide rate limits: grants tokens of its partitions."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.config.objects import Limit
from foxtailreach.core import effects, messages
from foxtailreach.core.catalog import Catalog
from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.bucket import LEASE_VALID_US, LeasingBucket
from foxtailreach.core.limits.partitions import (
    group_of,
    key_of_partition,
    limit_of_partition,
)
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.units import SECOND_US

# Suggested while this host cannot grant any tokens of the partition.
NO_SHARE_RETRY_US = SECOND_US


@dataclass(slots=True, frozen=True)
class HoldingTerm:
    """Uninterrupted period in which this process holds a partition.

    Only the very first holder of a partition starts with a full burst. A
    successor cannot know how many tokens were spent, so it starts empty.
    """

    epoch: int
    started_us: int
    is_first: bool


class LimitHolder:
    """Buckets of the partitions that the log assigns to this host."""

    __slots__ = (
        '_buckets',
        '_catalog',
        '_fold',
        '_host_id',
        '_log_freshness',
        '_own_claims',
        '_terms',
        'is_releasing',
    )

    def __init__(
        self,
        host_id: str,
        fold: Fold,
        catalog: Catalog,
        log_freshness: LogFreshness,
    ) -> None:
        """Create a holder; its buckets are created on demand."""
        self._host_id = host_id
        self._fold = fold
        self._catalog = catalog
        self._log_freshness = log_freshness
        self._buckets: dict[str, dict[str, LeasingBucket]] = {}
        self._terms: dict[str, HoldingTerm] = {}
        self._own_claims: dict[str, int] = {}
        self.is_releasing = False

    def held_partitions(self) -> list[str]:
        """List the partitions that the log assigns to this host."""
        return [
            partition_key
            for partition_key, holder in self._fold.holders.items()
            if holder.host_id == self._host_id
        ]

    def record_claim(self, partition_key: str, epoch: int) -> None:
        """Record a claim that this process appended to the log."""
        self._own_claims[partition_key] = epoch

    def refresh_terms(self, now_us: int) -> None:
        """Start and end terms after records of the log were applied."""
        held = {
            partition_key: self._fold.holders[partition_key]
            for partition_key in self.held_partitions()
        }
        for partition_key, term in list(self._terms.items()):
            if (
                partition_key not in held
                or held[partition_key].epoch != term.epoch
            ):
                self._terms.pop(partition_key)
                self._buckets.pop(partition_key, None)
        for partition_key, holder in held.items():
            if partition_key not in self._terms:
                is_own = self._own_claims.get(partition_key) == holder.epoch
                self._terms[partition_key] = HoldingTerm(
                    epoch=holder.epoch,
                    started_us=now_us,
                    is_first=is_own and holder.epoch == 1,
                )

    def handle_request(
        self,
        sender: str,
        request: messages.TokenRequest,
        now_us: int,
    ) -> effects.Effect:
        """Grant tokens if the partition is held here and may be used."""
        bucket = self._find_bucket(request.customer, request.seat, now_us)
        granted = 0
        retry_after_us = NO_SHARE_RETRY_US
        if bucket is not None:
            granted = bucket.grant_lease(
                sender,
                request.sequence,
                request.want,
                now_us,
            )
            retry_after_us = bucket.retry_after_us(now_us)
        grant = messages.TokenGrant(
            customer=request.customer,
            sequence=request.sequence,
            seat=request.seat,
            granted=granted,
            valid_us=LEASE_VALID_US,
            retry_after_us=retry_after_us,
            is_holder=self._may_grant(request.customer, request.seat, now_us),
        )
        return effects.SendPeer(sender, grant)

    def handle_return(
        self,
        sender: str,
        returned: messages.TokenReturn,
        now_us: int,
    ) -> None:
        """Credit tokens that an entry host returned unspent."""
        bucket = self._find_bucket(returned.customer, returned.seat, now_us)
        if bucket is not None:
            bucket.return_lease(
                sender,
                returned.sequence,
                returned.count,
                now_us,
            )

    def _find_bucket(
        self,
        customer: str,
        partition_index: int,
        now_us: int,
    ) -> LeasingBucket | None:
        limit = self._catalog.limit_of(customer)
        if limit is None or not self._may_grant(
            customer, partition_index, now_us
        ):
            return None
        share = limit_of_partition(limit, partition_index)
        if share is None:
            return None
        key = key_of_partition(group_of(customer), partition_index)
        return self._open_bucket(key, self._terms[key], customer, share, now_us)

    def _may_grant(
        self, customer: str, partition_index: int, now_us: int
    ) -> bool:
        if self.is_releasing or not self._log_freshness.is_current(now_us):
            return False
        return (
            key_of_partition(group_of(customer), partition_index) in self._terms
        )

    def _open_bucket(
        self,
        partition_key: str,
        term: HoldingTerm,
        customer: str,
        share: Limit,
        now_us: int,
    ) -> LeasingBucket:
        buckets = self._buckets.setdefault(partition_key, {})
        bucket = buckets.get(customer)
        if bucket is None:
            tokens = share.burst_requests if term.is_first else 0
            bucket = LeasingBucket(share, tokens, term.started_us)
            buckets[customer] = bucket
        elif bucket.limit != share:
            bucket.change_limit(share, now_us)
        return bucket
