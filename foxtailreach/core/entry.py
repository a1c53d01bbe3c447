"""Entry host side of a request: admission, choice of a pool, retries.

A request is authenticated, charged to its customer's limit and handed off to
the owner of the pool with the least expected delay. The caller gets exactly
one answer: a complete answer of a target, or a refusal that says whether the
request may have run. If an answer breaks off, the caller's connection is
aborted.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field

from foxtailreach.config.objects import Route
from foxtailreach.core import effects, events, messages
from foxtailreach.core.budget import RetryBudget
from foxtailreach.core.catalog import Catalog, Pool, is_idempotent
from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.directory import PoolDirectory
from foxtailreach.core.limits.client import Admission, Decision, LimitClient
from foxtailreach.core.loads import LoadView
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.membership import Membership
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.core.verdict import Reason, Refusal, Verdict, may_resend

MAX_HANDOFFS = 3
MAX_OWNER_RETRIES = 2
HANDOFF_SEPARATOR = '.'
MAX_FORWARDS = 1
# Suggested to callers when no owner said when to retry.
RETRY_AFTER_US = 200 * MILLISECOND_US

Effects = list[effects.Effect]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A caller's request that has no complete answer yet.

    `handoffs` counts the handoffs so far; `pool_id` and `host_id` are empty
    before the first one. `refused_pools` are the pools whose loads the last
    result reported; a retry avoids them.
    """

    head: messages.RequestHead
    fingerprint: int
    customer: str
    weight: int
    route: Route
    started_us: int
    deadline_us: int
    queue_deadline_us: int
    tried_pools: set[str] = field(default_factory=set)
    handoffs: int = 0
    pool_id: str = ''
    refused_pools: tuple[str, ...] = ()
    host_id: str = ''
    may_have_run: bool = False
    is_answer_started: bool = False

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.head.request_id

    @property
    def handoff_id(self) -> str:
        """Return the identifier of the current handoff of this request."""
        return f'{self.head.request_id}{HANDOFF_SEPARATOR}{self.handoffs}'

    @property
    def idempotent(self) -> bool:
        """Tell whether the method allows running the request twice."""
        return is_idempotent(self.head.method)


class EntryRouter:
    """Admits callers' requests, hands them off and retries them."""

    __slots__ = (
        '_budget',
        '_catalog',
        '_crashes',
        '_directory',
        '_host_id',
        '_limits',
        '_log_freshness',
        '_membership',
        'is_stopping',
        'loads',
        'pending',
    )

    def __init__(
        self,
        catalog: Catalog,
        membership: Membership,
        directory: PoolDirectory,
        log_freshness: LogFreshness,
        crashes: CrashTracker,
        limits: LimitClient,
        loads: LoadView,
        now_us: int,
    ) -> None:
        """Create a router that shares the node's state."""
        self._catalog = catalog
        self._membership = membership
        self._directory = directory
        self._log_freshness = log_freshness
        self._crashes = crashes
        self._limits = limits
        self._host_id = membership.host_id
        self._budget = RetryBudget(now_us)
        self.loads = loads
        self.pending: dict[str, PendingRequest] = {}
        self.is_stopping = False

    def admit(self, request: events.CallerRequest, now_us: int) -> Effects:
        """Authenticate, authorize and charge a new request."""
        request_id = request.head.request_id
        route = self._catalog.route_of_path(request.head.path)
        reason = self._refusal_before_authentication(request, route)
        if reason is not None or route is None:
            return [_refuse(request_id, reason or Reason.NO_ROUTE)]
        customer = self._authenticate(request, route, now_us)
        if isinstance(customer, Reason):
            return [_refuse(request_id, customer)]
        pending = self._create_pending(request, route, customer, now_us)
        self.pending[request_id] = pending
        self._budget.record_request()
        if not customer:
            return self._hand_off(pending, now_us)
        spent = self._limits.spend(customer, request_id, now_us)
        return [*spent.effects, *self.apply_decisions(spent.decisions, now_us)]

    def apply_decisions(
        self, decisions: list[Decision], now_us: int
    ) -> Effects:
        """Hand off or refuse requests whose limit was checked."""
        new_effects: Effects = []
        for decision in decisions:
            pending = self.pending.get(decision.request_id)
            if pending is None:
                continue
            match decision.admission:
                case Admission.GRANTED:
                    new_effects.extend(self._hand_off(pending, now_us))
                case Admission.OVER_LIMIT:
                    reason = Reason.OVER_LIMIT
                    new_effects.append(
                        self._refuse_pending(
                            pending, reason, decision.retry_after_us
                        ),
                    )
                case Admission.UNAVAILABLE:
                    reason = Reason.LIMIT_UNAVAILABLE
                    new_effects.append(
                        self._refuse_pending(
                            pending, reason, decision.retry_after_us
                        ),
                    )
        return new_effects

    def caller_disconnected(self, request_id: str) -> Effects:
        """Cancel a request whose caller closed the connection."""
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return []
        self._limits.cancel(pending.customer, request_id)
        if not pending.host_id:
            return []
        cancel = messages.CancelHandoff(pending.handoff_id)
        return [effects.SendPeer(pending.host_id, cancel)]

    def answer_started(self, request_id: str) -> None:
        """Record that the answer has started, which rules out a retry."""
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.is_answer_started = True

    def forwarded(self, notice: messages.Forwarded) -> None:
        """Record the host to which an owner forwarded the request."""
        pending = self._pending_of_handoff(notice.request_id)
        if pending is not None:
            pending.host_id = notice.host_id

    def handoff_finished(
        self,
        result: messages.HandoffResult,
        now_us: int,
    ) -> Effects:
        """Finish the request, try another pool, or refuse."""
        for load in result.loads:
            self.loads.observe(load, now_us)
        pending = self._pending_of_handoff(result.request_id)
        if pending is None:
            return []
        if result.verdict is Verdict.RAN and result.reason is None:
            return [self._finish(pending, now_us)]
        reason = result.reason or Reason.TARGET_FAILED
        pending.refused_pools = tuple(load.pool_id for load in result.loads)
        return self._retry_or_refuse(
            pending,
            result.verdict,
            reason,
            result.retry_after_us,
            now_us,
        )

    def handoff_unsent(self, handoff_id: str, now_us: int) -> Effects:
        """Try another pool after a handoff that was certainly not sent."""
        pending = self._pending_of_handoff(handoff_id)
        if pending is None:
            return []
        return self._retry_or_refuse(
            pending,
            Verdict.NOT_RUN,
            Reason.NO_TARGET,
            RETRY_AFTER_US,
            now_us,
        )

    def host_lost(self, host_id: str, now_us: int) -> Effects:
        """Retry or refuse the requests that a lost host had."""
        new_effects: Effects = []
        for pending in list(self.pending.values()):
            if pending.host_id == host_id and host_id != self._host_id:
                new_effects.extend(
                    self._retry_or_refuse(
                        pending,
                        Verdict.MAY_HAVE_RUN,
                        Reason.HOST_LOST,
                        RETRY_AFTER_US,
                        now_us,
                    ),
                )
        return new_effects

    def tick(self, now_us: int) -> Effects:
        """Refuse requests whose deadline passed without an answer."""
        new_effects: Effects = []
        for pending in list(self.pending.values()):
            if now_us >= pending.deadline_us and not pending.is_answer_started:
                new_effects.extend(self._expire(pending))
        return new_effects

    def _pending_of_handoff(self, handoff_id: str) -> PendingRequest | None:
        pending = self.pending.get(request_of_handoff(handoff_id))
        if pending is None or pending.handoff_id != handoff_id:
            return None
        return pending

    def _refusal_before_authentication(
        self,
        request: events.CallerRequest,
        route: Route | None,
    ) -> Reason | None:
        if self.is_stopping:
            return Reason.STOPPING
        if not self._catalog.objects.routes:
            return Reason.NO_CONFIGURATION
        if route is None:
            return Reason.NO_ROUTE
        if self._crashes.is_quarantined(request.fingerprint):
            return Reason.QUARANTINED
        return None

    def _authenticate(
        self,
        request: events.CallerRequest,
        route: Route,
        now_us: int,
    ) -> str | Reason:
        if route.open:
            return ''
        if not request.key:
            return Reason.NO_KEY
        if not self._log_freshness.is_current(now_us):
            return Reason.KEYS_UNCERTAIN
        customer = self._catalog.customer_of_key(request.key)
        return Reason.UNKNOWN_KEY if customer is None else customer

    def _create_pending(
        self,
        request: events.CallerRequest,
        route: Route,
        customer: str,
        now_us: int,
    ) -> PendingRequest:
        timeout_us = route.timeout_ms * MILLISECOND_US
        if request.timeout_us is not None:
            timeout_us = min(timeout_us, request.timeout_us)
        entry = self._catalog.customer(customer)
        service = self._catalog.objects.services[route.service]
        return PendingRequest(
            head=request.head,
            fingerprint=request.fingerprint,
            customer=customer,
            weight=1 if entry is None else entry.weight,
            route=route,
            started_us=now_us,
            deadline_us=now_us + timeout_us,
            queue_deadline_us=now_us + service.max_queue_ms * MILLISECOND_US,
        )

    def _hand_off(self, pending: PendingRequest, now_us: int) -> Effects:
        pools = self._catalog.pools_of(pending.route.service)
        chosen = self._choose_pool(pools, pending, now_us)
        if chosen is None:
            return [
                self._refuse_pending(pending, Reason.NO_TARGET, RETRY_AFTER_US)
            ]
        pool, owner = chosen
        pending.pool_id = pool.pool_id
        pending.host_id = owner
        pending.handoffs += 1
        may_forward = pending.handoffs == 1 and not pending.head.is_streamed
        self.loads.record_sent(pool.pool_id)
        others = [other for other in pools if other is not pool]
        handoff = messages.Handoff(
            head=dataclasses.replace(
                pending.head, request_id=pending.handoff_id
            ),
            pool_id=pool.pool_id,
            customer=pending.customer,
            weight=pending.weight,
            duration=pending.route.duration,
            idempotent=pending.idempotent,
            fingerprint=pending.fingerprint,
            deadline_left_us=max(0, pending.deadline_us - now_us),
            queue_left_us=max(0, pending.queue_deadline_us - now_us),
            origin=self._host_id,
            forwards_left=MAX_FORWARDS if may_forward else 0,
            retries_left=MAX_OWNER_RETRIES,
            loads=self.loads.reports(others, now_us),
        )
        return [effects.SendPeer(owner, handoff)]

    def _choose_pool(
        self,
        pools: tuple[Pool, ...],
        pending: PendingRequest,
        now_us: int,
    ) -> tuple[Pool, str] | None:
        excluded = set(pending.tried_pools)
        while True:
            pool = self.loads.choose(pools, excluded, now_us)
            if pool is None:
                return None
            owner = self._directory.owner(pool)
            if owner is not None:
                return pool, owner
            excluded.add(pool.pool_id)

    def _retry_or_refuse(
        self,
        pending: PendingRequest,
        verdict: Verdict,
        reason: Reason,
        retry_after_us: int,
        now_us: int,
    ) -> Effects:
        if verdict is not Verdict.NOT_RUN:
            pending.may_have_run = True
        if pending.is_answer_started:
            self.pending.pop(pending.request_id)
            return [effects.AbortAnswer(pending.request_id)]
        if self._may_retry(pending, verdict, reason, now_us):
            pending.tried_pools.update(
                pending.refused_pools or (pending.pool_id,)
            )
            pending.refused_pools = ()
            retried = self._hand_off(pending, now_us)
            if _contains_handoff(retried):
                return retried
        return [self._refuse_pending(pending, reason, retry_after_us)]

    def _may_retry(
        self,
        pending: PendingRequest,
        verdict: Verdict,
        reason: Reason,
        now_us: int,
    ) -> bool:
        if reason in {Reason.CANCELLED, Reason.QUARANTINED, Reason.DEADLINE}:
            return False
        if pending.head.is_streamed or pending.handoffs >= MAX_HANDOFFS:
            return False
        if now_us >= pending.deadline_us:
            return False
        if reason is Reason.OVERLOAD and now_us >= pending.queue_deadline_us:
            return False
        if self._crashes.is_quarantined(pending.fingerprint):
            return False
        if not may_resend(verdict, idempotent=pending.idempotent):
            return False
        return self._budget.spend_retry(now_us)

    def _expire(self, pending: PendingRequest) -> Effects:
        new_effects = self.caller_disconnected(pending.request_id)
        if pending.host_id:
            pending.may_have_run = True
        verdict = Verdict.NOT_RUN
        if pending.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
        refusal = Refusal(verdict, Reason.DEADLINE)
        return [
            *new_effects,
            effects.RefuseRequest(pending.request_id, refusal),
        ]

    def _finish(self, pending: PendingRequest, now_us: int) -> effects.Effect:
        self.pending.pop(pending.request_id)
        return effects.FinishRequest(
            request_id=pending.request_id,
            verdict=Verdict.RAN,
            service=pending.route.service,
            customer=pending.customer,
            latency_us=now_us - pending.started_us,
        )

    def _refuse_pending(
        self,
        pending: PendingRequest,
        reason: Reason,
        retry_after_us: int = 0,
    ) -> effects.Effect:
        self.pending.pop(pending.request_id, None)
        verdict = Verdict.NOT_RUN
        if pending.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
        refusal = Refusal(verdict, reason, retry_after_us)
        return effects.RefuseRequest(pending.request_id, refusal)


def request_of_handoff(handoff_id: str) -> str:
    """Return the identifier of the request that a handoff belongs to."""
    return handoff_id.rpartition(HANDOFF_SEPARATOR)[0]


def _refuse(request_id: str, reason: Reason) -> effects.RefuseRequest:
    return effects.RefuseRequest(request_id, Refusal(Verdict.NOT_RUN, reason))


def _contains_handoff(new_effects: Effects) -> bool:
    return any(
        isinstance(effect, effects.SendPeer)
        and isinstance(effect.message, messages.Handoff)
        for effect in new_effects
    )
