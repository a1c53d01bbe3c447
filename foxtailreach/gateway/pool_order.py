"""The order in which the pools of a service are asked about one request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from foxtailreach.core.dispatch.pool_messages import SlotReferral, SlotScope
from foxtailreach.core.dispatch.pools import Pool

DecisionT = TypeVar('DecisionT')


async def ask_pools(
    pool: Pool,
    ask: Callable[[Pool, SlotScope], Awaitable[SlotReferral | DecisionT]],
    is_final: Callable[[DecisionT], bool],
) -> DecisionT:
    """Return the decision on a request whose own pool is `pool`.

    A pool without room may refer the request to another one once. If that does
    not decide finally, the own pool does.
    """
    scope = SlotScope.OWN if pool.domain else SlotScope.FINAL
    decision = await ask(pool, scope)
    if not isinstance(decision, SlotReferral):
        return decision
    other = Pool(pool.service, decision.domain)
    if decision.is_final:
        pool = other
    else:
        overflow = await ask(other, SlotScope.OVERFLOW)
        if not isinstance(overflow, SlotReferral) and is_final(overflow):
            return overflow
    decision = await ask(pool, SlotScope.FINAL)
    assert not isinstance(decision, SlotReferral)
    return decision
