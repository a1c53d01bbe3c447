"""Assignment of pools to hosts by rendezvous hashing over the usable hosts.

Owners are cached. When hosts join or leave, only the pools that they owned or
would now own are assigned again. A change thus costs a scan of the cache, not
a ranking of every host for every pool.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from foxtailreach.core.catalog import Pool
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import rendezvous_score


@dataclass(slots=True)
class OwnerCache:
    """Usable hosts of a failure domain or fleet, and pool owners among them."""

    hosts: frozenset[str] = frozenset()
    owners: dict[str, str] = field(default_factory=dict)

    def update_hosts(self, hosts: frozenset[str]) -> None:
        """Replace the set of hosts and update the cached owners."""
        left = self.hosts - hosts
        joined = hosts - self.hosts
        self.hosts = hosts
        for pool_id, owner in list(self.owners.items()):
            if owner in left:
                self.owners.pop(pool_id)
            elif joined:
                self.owners[pool_id] = _highest_ranked(pool_id, owner, *joined)

    def owner(self, pool_id: str) -> str | None:
        """Return the host with the highest score for a pool, if any."""
        if not self.hosts:
            return None
        if pool_id not in self.owners:
            self.owners[pool_id] = _highest_ranked(pool_id, *self.hosts)
        return self.owners[pool_id]


class PoolDirectory:
    """Looks up pool owners for the current version of the membership."""

    __slots__ = ('_by_domain', '_fleet_owners', '_membership', '_version')

    def __init__(self, membership: Membership) -> None:
        """Create a directory over a membership."""
        self._membership = membership
        self._version = -1
        self._by_domain: dict[str, OwnerCache] = {}
        self._fleet_owners = OwnerCache()

    def owner(self, pool: Pool) -> str | None:
        """Return the owner of a pool, if any host is usable.

        Hosts of the pool's own failure domain are preferred, because with an
        owner in another domain each slot is idle for a round trip between
        the domains after every request.
        """
        if self._version != self._membership.version:
            self._refresh()
        local = self._by_domain.get(pool.domain, self._fleet_owners)
        if not local.hosts:
            local = self._fleet_owners
        return local.owner(pool.pool_id)

    def _refresh(self) -> None:
        self._version = self._membership.version
        hosts: dict[str, set[str]] = {}
        for host_id in self._membership.usable_hosts():
            domain = self._membership.hosts[host_id].entry.domain
            hosts.setdefault(domain, set()).add(host_id)
        for domain in hosts.keys() | self._by_domain.keys():
            owners = self._by_domain.setdefault(domain, OwnerCache())
            owners.update_hosts(frozenset(hosts.get(domain, ())))
        all_hosts = frozenset().union(*hosts.values())
        self._fleet_owners.update_hosts(all_hosts)


def _highest_ranked(pool_id: str, *hosts: str) -> str:
    return max(hosts, key=lambda host_id: rendezvous_score(host_id, pool_id))
