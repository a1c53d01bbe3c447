"""Claims of vacant quota partitions through the log, and their release."""

from __future__ import annotations

from foxtailreach.config.records import (
    ClaimRecord,
    ReleaseRecord,
    SeatEpoch,
    encode_record,
)
from foxtailreach.core import effects
from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.holder import LimitHolder
from foxtailreach.core.limits.partitions import (
    all_partitions,
    domain_of_partition,
)
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import top_candidate
from foxtailreach.core.units import SECOND_US

# Longer than `MAX_CURRENT_AGE_US`, after which a holder that reaches neither
# the log nor any other host stops granting.
HOLDER_GONE_GRACE_US = 5 * SECOND_US
CLAIM_INTERVAL_US = SECOND_US

Effects = list[effects.Effect]


class PartitionClaims:
    """Claims the vacant partitions that are assigned to this host.

    A partition is vacant if no host holds it, or if its holder has been off
    the host list for `HOLDER_GONE_GRACE_US`.
    """

    __slots__ = (
        '_fold',
        '_gone_since_us',
        '_holder',
        '_membership',
        '_next_claim_us',
    )

    def __init__(
        self,
        fold: Fold,
        membership: Membership,
        holder: LimitHolder,
    ) -> None:
        """Create the component, which shares the node's state."""
        self._fold = fold
        self._membership = membership
        self._holder = holder
        self._gone_since_us: dict[str, int] = {}
        self._next_claim_us = 0

    def tick(self, now_us: int, *, can_append: bool) -> Effects:
        """Claim vacant partitions, at most once per `CLAIM_INTERVAL_US`."""
        if now_us < self._next_claim_us:
            return []
        self._next_claim_us = now_us + CLAIM_INTERVAL_US
        self._update_gone_holders(now_us)
        if self._membership.is_leaving or not can_append:
            return []
        claims = tuple(self._due_claims(now_us))
        if not claims:
            return []
        for claim in claims:
            self._holder.record_claim(claim.seat, claim.epoch)
        record = ClaimRecord(self._membership.host_id, claims)
        return [effects.AppendRecord(encode_record(record))]

    def release(self) -> Effects:
        """Append the release of all partitions before a graceful stop."""
        self._holder.is_releasing = True
        partitions = tuple(
            SeatEpoch(partition_key, self._fold.holders[partition_key].epoch)
            for partition_key in self._holder.held_partitions()
        )
        if not partitions:
            return []
        record = ReleaseRecord(self._membership.host_id, partitions)
        return [effects.AppendRecord(encode_record(record))]

    def _update_gone_holders(self, now_us: int) -> None:
        listed = self._membership.hosts
        holders = {holder.host_id for holder in self._fold.holders.values()}
        self._gone_since_us = {
            host_id: self._gone_since_us.get(host_id, now_us)
            for host_id in holders
            if host_id and host_id not in listed
        }

    def _due_claims(self, now_us: int) -> list[SeatEpoch]:
        claims = []
        domains = sorted(self._fold.objects.domains)
        for partition_key in all_partitions():
            if self._is_vacant(
                partition_key, now_us
            ) and self._is_assigned_here(partition_key, domains):
                current = self._fold.holders.get(partition_key)
                epoch = 0 if current is None else current.epoch
                claims.append(SeatEpoch(partition_key, epoch + 1))
        return claims

    def _is_vacant(self, partition_key: str, now_us: int) -> bool:
        holder = self._fold.holders.get(partition_key)
        if holder is None or not holder.host_id:
            return True
        gone_since_us = self._gone_since_us.get(holder.host_id)
        if gone_since_us is None:
            return False
        return now_us - gone_since_us >= HOLDER_GONE_GRACE_US

    def _is_assigned_here(self, partition_key: str, domains: list[str]) -> bool:
        domain = domain_of_partition(partition_key, domains)
        candidates = self._membership.usable_hosts(domain)
        if not candidates:
            candidates = self._membership.usable_hosts()
        return (
            top_candidate(candidates, partition_key) == self._membership.host_id
        )
