"""Which host owns a pool, by rendezvous hashing over the usable hosts."""

from __future__ import annotations

from foxtailreach.core.catalog import Pool
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import top_candidate


class Directory:
    """Owners of pools, cached for one version of the membership."""

    __slots__ = ('_by_domain', '_membership', '_owners', '_version')

    def __init__(self, membership: Membership) -> None:
        """Create a directory over a membership."""
        self._membership = membership
        self._version = -1
        self._owners: dict[str, str | None] = {}
        self._by_domain: dict[str, list[str]] = {}

    def owner(self, pool: Pool) -> str | None:
        """Return the owner of a pool, if any host is usable.

        Hosts of the pool's own failure domain come first, because a remote
        owner idles each slot for a round trip between domains.
        """
        if self._version != self._membership.version:
            self._rebuild()
        if pool.pool_id not in self._owners:
            local = self._by_domain.get(pool.domain)
            candidates = local or self._membership.usable_hosts()
            self._owners[pool.pool_id] = top_candidate(
                candidates,
                pool.pool_id,
            )
        return self._owners[pool.pool_id]

    def _rebuild(self) -> None:
        self._version = self._membership.version
        self._owners.clear()
        self._by_domain.clear()
        for host_id in self._membership.usable_hosts():
            domain = self._membership.hosts[host_id].entry.domain
            self._by_domain.setdefault(domain, []).append(host_id)
