"""Creation, takeover and handover of the pools that this host owns."""

from __future__ import annotations

import dataclasses
import itertools
import random

from foxtailreach.core import effects, messages
from foxtailreach.core.catalog import Catalog, Pool
from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.directory import PoolDirectory
from foxtailreach.core.loads import LoadView
from foxtailreach.core.membership import Membership
from foxtailreach.core.pool.owner import PoolOwner
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict

# Delay before an adopted pool dispatches, unless its former owner hands over.
TAKEOVER_DELAY_US = 1500 * MILLISECOND_US
# Time after activation for which the former owner's running requests count
# as in flight.
INHERITED_IN_FLIGHT_US = 10 * SECOND_US
MAX_RECENT_HANDOFFS = 8192

Effects = list[effects.Effect]


class Ownership:
    """Keeps an owner for each pool that the directory assigns to this host."""

    __slots__ = (
        '_attempt_ids',
        '_attempt_pools',
        '_catalog',
        '_crashes',
        '_directory',
        '_host_id',
        '_loads',
        '_membership',
        '_recent_handoffs',
        '_rng',
        'pools',
    )

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        directory: PoolDirectory,
        crashes: CrashTracker,
        loads: LoadView,
        rng: random.Random,
    ) -> None:
        """Start without pools; see `reconcile`."""
        self._catalog = catalog
        self._membership = membership
        self._directory = directory
        self._crashes = crashes
        self._loads = loads
        self._host_id = membership.host_id
        self._rng = rng
        self._attempt_ids = itertools.count(1)
        self._attempt_pools: dict[int, str] = {}
        self._recent_handoffs: dict[str, None] = {}
        self.pools: dict[str, PoolOwner] = {}

    @property
    def is_idle(self) -> bool:
        """Tell whether no owned pool has queued or running requests."""
        return all(owner.is_idle for owner in self.pools.values())

    def reconcile(self, now_us: int) -> Effects:
        """Adopt and release pools after a change of hosts or targets."""
        new_effects: Effects = []
        assigned = {
            pool.pool_id: pool
            for pool in self._catalog.pools()
            if self._directory.owner(pool) == self._host_id
        }
        for pool_id, owner in list(self.pools.items()):
            if pool_id not in assigned:
                new_effects.extend(self._release_pool(pool_id, owner, now_us))
        for pool in assigned.values():
            new_effects.extend(self._adopt_pool(pool, now_us))
        return new_effects

    def submit(self, handoff: messages.Handoff, now_us: int) -> Effects:
        """Queue a handed-off request, forward it, or refuse it.

        A handoff that arrives a second time is ignored.
        """
        for load in handoff.loads:
            self._loads.observe(load, now_us)
        if handoff.head.request_id in self._recent_handoffs:
            return []
        self._record_handoff(handoff.head.request_id)
        owner = self.pools.get(handoff.pool_id)
        if owner is None or owner.is_closing:
            return [_refuse(handoff)]
        forwarded = self._forward(handoff, owner, now_us)
        if forwarded:
            return forwarded
        return self._record_attempts(owner, owner.submit(handoff, now_us))

    def accept_handover(
        self,
        message: messages.PoolHandover,
        now_us: int,
    ) -> Effects:
        """Take over a pool from an owner that released it."""
        owner = self.pools.get(message.pool_id)
        if owner is None:
            return []
        new_effects = owner.adopt_allowances(message.allowances, now_us)
        return self._record_attempts(owner, new_effects)

    def cancel(self, request_id: str, now_us: int) -> Effects:
        """Cancel a request in whichever pool has it."""
        new_effects: Effects = []
        for owner in self.pools.values():
            new_effects.extend(
                self._record_attempts(owner, owner.cancel(request_id, now_us))
            )
        return new_effects

    def owner_of_attempt(self, attempt_id: int) -> PoolOwner | None:
        """Return the owner that started an attempt."""
        pool_id = self._attempt_pools.get(attempt_id, '')
        return self.pools.get(pool_id)

    def attempt_ended(self, owner: PoolOwner, new_effects: Effects) -> Effects:
        """Record the attempts that were started when another one ended."""
        return self._record_attempts(owner, new_effects)

    def forget_attempt(self, attempt_id: int) -> None:
        """Forget which pool a finished attempt belongs to."""
        self._attempt_pools.pop(attempt_id, None)

    def tick(self, now_us: int, *, is_connected: bool) -> Effects:
        """Run the periodic work of all owners; drop pools that are drained.

        Owners dispatch nothing while the host is not connected.
        """
        new_effects: Effects = []
        for pool_id, owner in list(self.pools.items()):
            owner.is_suspended = not is_connected
            new_effects.extend(self._record_attempts(owner, owner.tick(now_us)))
            if now_us > owner.activates_at_us + INHERITED_IN_FLIGHT_US:
                owner.clear_inherited_in_flight()
            if owner.is_closing and owner.is_idle:
                new_effects.extend(self._hand_over(pool_id, owner))
                self.pools.pop(pool_id)
        return new_effects

    def _adopt_pool(self, pool: Pool, now_us: int) -> Effects:
        service = self._catalog.objects.services[pool.service]
        owner = self.pools.get(pool.pool_id)
        if owner is None:
            owner = PoolOwner(
                pool.pool_id,
                service,
                self._crashes,
                self._attempt_ids.__next__,
                self._rng,
                now_us,
            )
            owner.activates_at_us = now_us
            if len(self._membership.hosts) > 1:
                owner.activates_at_us += TAKEOVER_DELAY_US
            self.pools[pool.pool_id] = owner
        owner.is_closing = False
        new_effects = owner.update_targets(service, pool.targets, now_us)
        return self._record_attempts(owner, new_effects)

    def _release_pool(
        self,
        pool_id: str,
        owner: PoolOwner,
        now_us: int,
    ) -> Effects:
        if owner.is_closing:
            return []
        owner.is_closing = True
        new_effects = self._hand_over(pool_id, owner)
        new_effects.extend(owner.refuse_queued())
        if owner.is_idle:
            self.pools.pop(pool_id)
        return new_effects

    def _hand_over(self, pool_id: str, owner: PoolOwner) -> Effects:
        pool = self._catalog.pool(pool_id)
        successor = None if pool is None else self._directory.owner(pool)
        if successor is None or successor == self._host_id:
            return []
        message = messages.PoolHandover(pool_id, owner.allowances())
        return [effects.SendPeer(successor, message)]

    def _forward(
        self,
        handoff: messages.Handoff,
        owner: PoolOwner,
        now_us: int,
    ) -> Effects:
        if not handoff.forwards_left or owner.free_slots > owner.queued:
            return []
        service = handoff.pool_id.partition('/')[0]
        pools = self._catalog.pools_of(service)
        pool = self._loads.most_free_pool(pools, handoff.pool_id, now_us)
        owner_host = None if pool is None else self._directory.owner(pool)
        if pool is None or owner_host in {None, self._host_id}:
            return []
        self._loads.record_sent(pool.pool_id)
        return _forward_to(owner_host or '', pool.pool_id, handoff)

    def _record_attempts(
        self, owner: PoolOwner, new_effects: Effects
    ) -> Effects:
        for effect in new_effects:
            if isinstance(effect, effects.StartAttempt):
                self._attempt_pools[effect.attempt_id] = owner.pool_id
        return new_effects

    def _record_handoff(self, request_id: str) -> None:
        self._recent_handoffs[request_id] = None
        if len(self._recent_handoffs) > MAX_RECENT_HANDOFFS:
            self._recent_handoffs.pop(next(iter(self._recent_handoffs)))


def _forward_to(
    host_id: str,
    pool_id: str,
    handoff: messages.Handoff,
) -> Effects:
    forwarded_handoff = dataclasses.replace(
        handoff,
        pool_id=pool_id,
        forwards_left=handoff.forwards_left - 1,
        loads=(),
    )
    notice = messages.Forwarded(handoff.head.request_id, host_id)
    return [
        effects.SendPeer(host_id, forwarded_handoff),
        effects.SendPeer(handoff.origin, notice),
    ]


def _refuse(handoff: messages.Handoff) -> effects.Effect:
    result = messages.HandoffResult(
        request_id=handoff.head.request_id,
        verdict=Verdict.NOT_RUN,
        reason=Reason.NOT_OWNER,
    )
    return effects.SendPeer(handoff.origin, result)
