"""Indexes over the current configuration, updated by change sets."""

from __future__ import annotations

import hashlib
import hmac
import math
from collections.abc import Mapping
from dataclasses import dataclass

from foxtailreach.config.objects import (
    IDEMPOTENT_METHODS,
    ChangeSet,
    Customer,
    Limit,
    Objects,
    Route,
    Target,
)
from foxtailreach.core.ranking import rendezvous_score

# A service's targets in a failure domain are divided among pools that have
# at most this many slots on average.
MAX_POOL_SLOTS = 16


@dataclass(slots=True, frozen=True)
class Pool:
    """Targets of one service in one failure domain."""

    pool_id: str
    service: str
    domain: str
    targets: Mapping[str, Target]

    @property
    def slots(self) -> int:
        """Return the sum of the configured slots of all targets."""
        return sum(target.slots for target in self.targets.values())


class Catalog:
    """Looks up customers, routes and pools for each request."""

    __slots__ = (
        '_digests',
        '_pools',
        '_prefixes',
        '_service_pools',
        '_targets',
        'objects',
    )

    def __init__(self) -> None:
        """Start without configuration; see `apply`."""
        self.objects = Objects()
        self._digests: dict[str, str] = {}
        self._prefixes: dict[str, str] = {}
        self._targets: dict[str, dict[str, Target]] = {}
        self._service_pools: dict[str, tuple[Pool, ...]] = {}
        self._pools: dict[str, Pool] = {}

    def apply(
        self,
        objects: Objects,
        change: ChangeSet,
        replaced: Objects,
    ) -> None:
        """Update the indexes.

        `objects` already contains the change; `replaced` holds the objects
        that it replaced or removed.
        """
        self.objects = objects
        self._index_keys(change, replaced)
        self._index_routes(change)
        self._index_targets(change, replaced)

    def customer_of_key(self, key: str) -> str | None:
        """Return the customer of a caller's key, or None if it is not valid."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        name = self._digests.get(digest)
        if name is None:
            return None
        entry = self.objects.keys[name]
        if not hmac.compare_digest(entry.digest_sha256, digest):
            return None
        return entry.customer

    def route_of_path(self, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        prefix = path.partition('?')[0]
        while prefix:
            name = self._prefixes.get(prefix)
            if name is not None:
                return self.objects.routes[name]
            prefix = prefix.rpartition('/')[0]
        name = self._prefixes.get('/')
        return None if name is None else self.objects.routes[name]

    def customer(self, name: str) -> Customer | None:
        """Return a customer by name."""
        return self.objects.customers.get(name)

    def limit_of(self, customer: str) -> Limit | None:
        """Return the limit of a customer."""
        entry = self.objects.customers.get(customer)
        return None if entry is None else self.objects.limits[entry.limit]

    def pools_of(self, service: str) -> tuple[Pool, ...]:
        """Return the pools of a service in active failure domains."""
        pools = self._service_pools.get(service)
        if pools is None:
            pools = self._build_pools(service)
            self._service_pools[service] = pools
            self._pools.update((pool.pool_id, pool) for pool in pools)
        return pools

    def pools(self) -> list[Pool]:
        """Return all pools in active failure domains."""
        return [
            pool for service in self._targets for pool in self.pools_of(service)
        ]

    def pool(self, pool_id: str) -> Pool | None:
        """Return a pool in an active failure domain, by its identifier."""
        if pool_id not in self._pools:
            self.pools_of(pool_id.partition('/')[0])
        return self._pools.get(pool_id)

    def _index_keys(self, change: ChangeSet, replaced: Objects) -> None:
        for key in replaced.keys.values():
            self._digests.pop(key.digest_sha256, None)
        for name, key in change.upserts.keys.items():
            self._digests[key.digest_sha256] = name

    def _index_routes(self, change: ChangeSet) -> None:
        touched = {*change.removals.routes, *change.upserts.routes}
        if touched:
            self._prefixes = {
                _normalize_prefix(route.path_prefix): name
                for name, route in self.objects.routes.items()
            }

    def _index_targets(self, change: ChangeSet, replaced: Objects) -> None:
        if change.upserts.domains or change.removals.domains:
            self._service_pools.clear()
            self._pools.clear()
        for name, target in replaced.targets.items():
            self._targets[target.service].pop(name)
            self._forget_pools(target.service)
        for name, target in change.upserts.targets.items():
            self._targets.setdefault(target.service, {})[name] = target
            self._forget_pools(target.service)

    def _forget_pools(self, service: str) -> None:
        for pool in self._service_pools.pop(service, ()):
            self._pools.pop(pool.pool_id, None)

    def _build_pools(self, service: str) -> tuple[Pool, ...]:
        by_domain: dict[str, dict[str, Target]] = {}
        for name, target in self._targets.get(service, {}).items():
            if self.objects.domains[target.domain].state == 'active':
                by_domain.setdefault(target.domain, {})[name] = target
        return tuple(
            pool
            for domain, targets in sorted(by_domain.items())
            for pool in _split_pool(service, domain, targets)
        )


def is_idempotent(method: str) -> bool:
    """Tell whether HTTP defines a method as idempotent."""
    return method in IDEMPOTENT_METHODS


def _normalize_prefix(prefix: str) -> str:
    return prefix.rstrip('/') or '/'


def _split_pool(
    service: str,
    domain: str,
    targets: dict[str, Target],
) -> list[Pool]:
    slots = sum(target.slots for target in targets.values())
    shards = math.ceil(slots / MAX_POOL_SLOTS)
    members: list[dict[str, Target]] = [{} for _ in range(shards)]
    for name, target in sorted(targets.items()):
        shard = rendezvous_score(name, service) % shards
        members[shard][name] = target
    return [
        Pool(f'{service}/{domain}/{index}', service, domain, shard_targets)
        for index, shard_targets in enumerate(members)
        if shard_targets
    ]
