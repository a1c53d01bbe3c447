"""Which host owns a pool, by rendezvous hashing over the usable hosts.

Owners are cached. When hosts come or go, only the pools that they owned or
that they now win are decided again, so that a change costs a scan and not a
ranking of every host for every pool.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from foxtailreach.core.catalog import Pool
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import rendezvous_score


@dataclass(slots=True)
class DomainOwners:
    """Usable hosts of one failure domain and the owners among them."""

    hosts: frozenset[str] = frozenset()
    owners: dict[str, str] = field(default_factory=dict)

    def update_hosts(self, hosts: frozenset[str]) -> None:
        """Adopt a new set of hosts and mend the cached owners."""
        gone = self.hosts - hosts
        come = hosts - self.hosts
        self.hosts = hosts
        for pool_id, owner in list(self.owners.items()):
            if owner in gone:
                self.owners.pop(pool_id)
            elif come:
                self.owners[pool_id] = _winner(pool_id, owner, *come)

    def owner(self, pool_id: str) -> str | None:
        """Return the host with the highest weight for a pool."""
        if not self.hosts:
            return None
        if pool_id not in self.owners:
            self.owners[pool_id] = _winner(pool_id, *self.hosts)
        return self.owners[pool_id]


class Directory:
    """Owners of all pools, for the current version of the membership."""

    __slots__ = ('_anywhere', '_by_domain', '_membership', '_version')

    def __init__(self, membership: Membership) -> None:
        """Create a directory over a membership."""
        self._membership = membership
        self._version = -1
        self._by_domain: dict[str, DomainOwners] = {}
        self._anywhere = DomainOwners()

    def owner(self, pool: Pool) -> str | None:
        """Return the owner of a pool, if any host is usable.

        Hosts of the pool's own failure domain come first, because a remote
        owner idles each slot for a round trip between domains.
        """
        if self._version != self._membership.version:
            self._refresh()
        local = self._by_domain.get(pool.domain, self._anywhere)
        if not local.hosts:
            local = self._anywhere
        return local.owner(pool.pool_id)

    def _refresh(self) -> None:
        self._version = self._membership.version
        hosts: dict[str, set[str]] = {}
        for host_id in self._membership.usable_hosts():
            domain = self._membership.hosts[host_id].entry.domain
            hosts.setdefault(domain, set()).add(host_id)
        for domain in hosts.keys() | self._by_domain.keys():
            owners = self._by_domain.setdefault(domain, DomainOwners())
            owners.update_hosts(frozenset(hosts.get(domain, ())))
        everyone = frozenset().union(*hosts.values())
        self._anywhere.update_hosts(everyone)


def _winner(pool_id: str, *hosts: str) -> str:
    return max(hosts, key=lambda host_id: rendezvous_score(host_id, pool_id))
