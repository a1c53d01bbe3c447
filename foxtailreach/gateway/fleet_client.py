"""Requests slots from brokers and admission from rate limiters.

Timeouts are short. A broker that is down, frozen or partitioned costs two
timeouts of a round trip; then the next host in rank is asked, and finally
this host decides by itself.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import CustomerSpec
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.placement_messages import PlacementReport
from foxtailreach.core.dispatch.pool_messages import (
    SlotReferral,
    SlotScope,
)
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.units import SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.pool_order import ask_pools

# A round trip takes 3 ms; a host that has used up its CPU quota answers
# within 0.1 s.
RESEND_DELAY_S = 0.06
REPLY_TIMEOUT_S = 0.14
# A queued slot request is sent to its broker again after this long without
# a message.
QUEUED_RESEND_INTERVAL_S = 0.3
MAX_HOSTS_ASKED = 2
SECOND_COPY_DELAY_S = 0.1
# The hosts that hold a meter change when one is lost, which takes up to 1.6 s
# to detect; a charge is tried again at this interval for this long.
METER_RETRY_INTERVAL_S = 0.15
METER_WAIT_US = SECOND_US
# Ask ids of a process begin here, so that they differ from those of an earlier
# process of the same host.
ASK_IDS_PER_MS = 2**20

Reply = (
    messages.SlotGrant
    | messages.SlotQueued
    | messages.SlotRefused
    | SlotReferral
    | messages.ChargeResult
    | PlacementReport
)
REPLY_TYPES = (
    messages.SlotGrant,
    messages.SlotQueued,
    messages.SlotRefused,
    SlotReferral,
    messages.ChargeResult,
    PlacementReport,
)
# Replies after which the broker keeps nothing of a request that got no slot.
_DECISIONS = (
    messages.SlotGrant,
    messages.SlotRefused,
    SlotReferral,
)
Send = Callable[[str, messages.FleetMessage], None]


@dataclass(slots=True, frozen=True)
class GrantedSlot:
    """A granted slot, its pool and the host that granted it."""

    grant: messages.SlotGrant
    broker: str
    pool: Pool


@dataclass(slots=True, frozen=True)
class Charge:
    """Result of a charge, and the host that metered it.

    `meter` is '' if no host did: the customer has no limit, this host used its
    own share, or no host that holds the meter answered.
    """

    result: messages.ChargeResult
    meter: str = ''

    @property
    def admission(self) -> messages.Admission:
        """Return whether the request was admitted."""
        return self.result.admission


class FleetClient:
    """Sends slot and charge requests to other hosts and awaits the replies."""

    __slots__ = ('_ask_ids', '_held', '_node', '_pending', '_send')

    def __init__(self, node: FleetNode, send: Send) -> None:
        """Send requests with `send`, which also delivers to this host."""
        self._node = node
        self._send = send
        self._ask_ids = itertools.count(
            node.membership.incarnation * ASK_IDS_PER_MS,
        )
        self._pending: dict[tuple[str, int], asyncio.Queue[Reply]] = {}
        # The slots of requests that have not ended.
        self._held: set[int] = set()

    def receive(self, sender: str, reply: Reply) -> None:
        """Deliver a reply to the task that waits for it."""
        queue = self._pending.get((sender, reply.ask_id))
        if queue is not None:
            queue.put_nowait(reply)

    async def charge(
        self,
        customer: CustomerSpec,
        deadline_us: int,
        *,
        is_retry: bool = False,
    ) -> Charge:
        """Charge one send of a request to a customer's fleet-wide limit.

        An isolated host charges its own share of the limit. It cannot tell
        whether the limit is used up, so it never says so.
        """
        now_us = boot_time_us()
        if not customer.rate_per_s:
            return Charge(
                messages.ChargeResult(0, messages.Admission.WITHIN_LIMIT, 0)
            )
        if self._node.is_isolated(now_us):
            result = self._node.charge_local_share(customer, now_us)
            if result.admission is messages.Admission.REFUSED:
                return Charge(_not_owner(result.ask_id))
            return Charge(result)
        ask_id = next(self._ask_ids)
        request = messages.ChargeRequest(ask_id, customer.name, is_retry)
        return await self._ask_meters(request, deadline_us)

    async def renew(
        self,
        charge: Charge,
        customer: CustomerSpec,
        deadline_us: int,
    ) -> Charge:
        """Charge a request that waited as if it were admitted now."""
        if not charge.meter:
            return charge
        request = messages.ChargeRequest(charge.result.ask_id, customer.name)
        return await self._ask_meters(request, deadline_us)

    def cancel_charge(self, charge: Charge, customer: CustomerSpec) -> None:
        """Withdraw the charge of a request that was not sent."""
        if charge.meter:
            cancel = messages.ChargeCancel(charge.result.ask_id, customer.name)
            self._send(charge.meter, cancel)

    async def acquire(
        self,
        draft: messages.SlotRequest,
        deadline_us: int,
    ) -> GrantedSlot | messages.SlotRefused:
        """Return a slot for a request, or the refusal.

        `draft` is the request without its `ask_id`, which is set here, for a
        service; its pool is chosen here. A pool without room may refer the
        request to another one once.
        """
        return await ask_pools(
            self._node.pool_of(draft.service_name),
            lambda pool, scope: self._ask_pool(pool, scope, draft, deadline_us),
            lambda decision: isinstance(decision, GrantedSlot),
        )

    async def explain(
        self, host_id: str, query: messages.PlacementQuery
    ) -> PlacementReport | None:
        """Ask a broker what a request would get; None if it does not answer.

        The query gets its `ask_id` here.
        """
        ask_id = next(self._ask_ids)
        request = replace(query.request, ask_id=ask_id)
        query = replace(query, ask_id=ask_id, request=request)
        reply = await self._ask_once(host_id, query)
        return reply if isinstance(reply, PlacementReport) else None

    async def _ask_pool(
        self,
        pool: Pool,
        scope: SlotScope,
        draft: messages.SlotRequest,
        deadline_us: int,
    ) -> GrantedSlot | messages.SlotRefused | SlotReferral:
        """Ask the brokers of a pool in turn until one decides."""
        ask_id = next(self._ask_ids)
        for host_id in self.brokers_to_ask(pool):
            left_us = deadline_us - boot_time_us()
            spent_us = draft.time_left_us - left_us
            request = replace(
                draft,
                ask_id=ask_id,
                service_name=pool.name,
                scope=scope,
                time_left_us=left_us,
                objective_left_us=draft.objective_left_us - spent_us,
            )
            reply = await self._ask_slot(host_id, request, deadline_us)
            match reply:
                case messages.SlotGrant():
                    self._held.add(ask_id)
                    return GrantedSlot(reply, host_id, pool)
                case messages.SlotRefused() | SlotReferral():
                    return reply
                case _:
                    self._node.suspect(host_id, boot_time_us())
        cause = messages.RefusalCause.OVERLOAD
        return messages.SlotRefused(ask_id, cause, SECOND_US)

    def report(self, slot: GrantedSlot, report: messages.SlotReport) -> None:
        """Release a slot; report its outcome to the next broker in rank too."""
        self._held.discard(report.ask_id)
        report = replace(report, service_name=slot.pool.name)
        self._send_twice(slot.broker, report)
        ranked = self._node.broker_hosts(slot.pool, boot_time_us())
        for host_id in ranked[:2]:
            if host_id != slot.broker:
                self._send(host_id, report)

    def check_slots(self, broker: str, check: messages.SlotCheck) -> None:
        """Free the slots that a broker takes for held although none holds them.

        Their reports were lost, or belong to an earlier process of this host.
        """
        for ask_id in check.ask_ids:
            is_pending = (broker, ask_id) in self._pending
            if ask_id not in self._held and not is_pending:
                cancel = messages.SlotCancel(ask_id, check.service_name)
                self._send(broker, cancel)

    def report_over_limit(self, service: str) -> None:
        """Tell the broker that a request was refused by its rate limit."""
        pool = self._node.pool_of(service)
        message = messages.TurnedAway(pool.name)
        for host_id in self.brokers_to_ask(pool)[:1]:
            self._send(host_id, message)

    async def _ask_slot(
        self,
        host_id: str,
        request: messages.SlotRequest,
        deadline_us: int,
    ) -> Reply | None:
        key = (host_id, request.ask_id)
        queue: asyncio.Queue[Reply] = asyncio.Queue()
        self._pending[key] = queue
        reply: Reply | None = None
        try:
            reply = await self._ask_until_decided(
                host_id, request, queue, deadline_us
            )
        finally:
            self._pending.pop(key, None)
            if not isinstance(reply, _DECISIONS):
                cancel = messages.SlotCancel(
                    request.ask_id,
                    request.service_name,
                )
                self._send_twice(host_id, cancel)
        return reply

    async def _ask_until_decided(
        self,
        host_id: str,
        request: messages.SlotRequest,
        queue: asyncio.Queue[Reply],
        deadline_us: int,
    ) -> Reply | None:
        """Ask until the broker decides; None if it stops replying.

        Return a refusal when the deadline passes first.
        """
        while boot_time_us() < deadline_us:
            reply = await self._ask_with_resend(host_id, request, queue)
            while isinstance(reply, messages.SlotQueued):
                left_s = (deadline_us - boot_time_us()) / SECOND_US
                reply = await _next_reply(
                    queue, min(QUEUED_RESEND_INTERVAL_S, left_s)
                )
                if reply is None:
                    break
            else:
                return reply
        return messages.SlotRefused(
            request.ask_id,
            messages.RefusalCause.OVERLOAD,
            SECOND_US,
        )

    async def _ask_meters(
        self,
        request: messages.ChargeRequest,
        deadline_us: int,
    ) -> Charge:
        """Ask the hosts that hold the meter until one of them decides.

        Return `NOT_OWNER` if none does within `METER_WAIT_US`.
        """
        last_us = min(deadline_us, boot_time_us() + METER_WAIT_US)
        while True:
            for host_id in self._meters_to_ask(request.customer):
                reply = await self._ask_once(host_id, request)
                if not isinstance(reply, messages.ChargeResult):
                    self._node.suspect(host_id, boot_time_us())
                elif reply.admission is not messages.Admission.NOT_OWNER:
                    return Charge(reply, host_id)
            if boot_time_us() >= last_us:
                return Charge(_not_owner(request.ask_id))
            await asyncio.sleep(METER_RETRY_INTERVAL_S)

    async def _ask_once(
        self,
        host_id: str,
        request: messages.ChargeRequest | messages.PlacementQuery,
    ) -> Reply | None:
        key = (host_id, request.ask_id)
        queue: asyncio.Queue[Reply] = asyncio.Queue()
        self._pending[key] = queue
        try:
            return await self._ask_with_resend(host_id, request, queue)
        finally:
            self._pending.pop(key, None)

    async def _ask_with_resend(
        self,
        host_id: str,
        request: (
            messages.SlotRequest
            | messages.ChargeRequest
            | messages.PlacementQuery
        ),
        queue: asyncio.Queue[Reply],
    ) -> Reply | None:
        self._send(host_id, request)
        reply = await _next_reply(queue, RESEND_DELAY_S)
        if reply is None:
            self._send(host_id, request)
            reply = await _next_reply(queue, REPLY_TIMEOUT_S - RESEND_DELAY_S)
        return reply

    def _send_twice(
        self, host_id: str, message: messages.SlotReport | messages.SlotCancel
    ) -> None:
        """Send a message that frees a slot twice.

        If it were lost, the slot would stay taken until its lease expires, and
        its target would count as overdue.
        """
        self._send(host_id, message)
        asyncio.get_running_loop().call_later(
            SECOND_COPY_DELAY_S, self._send, host_id, message
        )

    def brokers_to_ask(self, pool: Pool) -> list[str]:
        """Rank the hosts that this host asks about a pool."""
        now_us = boot_time_us()
        if self._node.is_isolated(now_us):
            return [self._node.host_id]
        ranked = self._node.broker_hosts(pool, now_us)[:MAX_HOSTS_ASKED]
        if pool == self._node.pool_of(pool.service):
            ranked.append(self._node.host_id)
        return ranked

    def _meters_to_ask(self, customer: str) -> list[str]:
        return self._node.meter_hosts(customer, boot_time_us())


def _not_owner(ask_id: int) -> messages.ChargeResult:
    return messages.ChargeResult(ask_id, messages.Admission.NOT_OWNER, 0)


async def _next_reply(
    queue: asyncio.Queue[Reply],
    timeout_s: float,
) -> Reply | None:
    try:
        async with asyncio.timeout(timeout_s):
            return await queue.get()
    except TimeoutError:
        return None
