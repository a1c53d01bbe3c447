"""Lookup of the current holders of quota partitions."""

from __future__ import annotations

from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.partitions import (
    PARTITIONS_PER_GROUP,
    domain_of_partition,
    key_of_partition,
)
from foxtailreach.core.membership import Membership
from foxtailreach.core.messages import Liveness


class PartitionLocator:
    """Finds reachable partition holders and orders partitions by nearness."""

    __slots__ = ('_domain', '_fold', '_membership')

    def __init__(
        self,
        domain: str,
        fold: Fold,
        membership: Membership,
    ) -> None:
        """Create the locator of a host in `domain`."""
        self._domain = domain
        self._fold = fold
        self._membership = membership

    def locate_holder(self, partition_key: str) -> str:
        """Return the holder of a partition, or '' if none can be asked."""
        holder = self._fold.holders.get(partition_key)
        if holder is None or not holder.host_id:
            return ''
        if holder.host_id == self._membership.host_id:
            return holder.host_id
        state = self._membership.hosts.get(holder.host_id)
        if state is None or state.liveness is Liveness.DOWN:
            return ''
        return holder.host_id

    def order_partitions(self, group: int) -> tuple[int, ...]:
        """Return a group's partition indexes, own failure domain first."""
        domains = sorted(self._fold.objects.domains)
        partitions = list(range(PARTITIONS_PER_GROUP))
        partitions.sort(
            key=lambda partition_index: (
                domain_of_partition(
                    key_of_partition(group, partition_index), domains
                )
                != self._domain
            ),
        )
        return tuple(partitions)
