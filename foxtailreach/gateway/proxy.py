"""Request handling: route, API key, rate limit, slot, target, answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus

import xxhash
from loguru import logger

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    RouteSpec,
)
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.route_checks import find_refusal
from foxtailreach.core.dispatch.target_notices import Incarnation
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.fleet_client import (
    Charge,
    FleetClient,
    GrantedSlot,
)
from foxtailreach.gateway.http_types import (
    AttemptTrace,
    CallerAnswer,
    CallerRequest,
    Rejection,
    RequestTrace,
    refusal,
)
from foxtailreach.gateway.target_limit import TargetLimit
from foxtailreach.gateway.upstream import TargetAnswer, Upstream

# Bound on attempts that ended before a byte was sent; `max_attempts` of a
# route does not count them.
MAX_UNSENT_ATTEMPTS = 3
NOT_READY_RETRY_US = SECOND_US
# A host that has just started gets the configuration within a few tens of
# milliseconds; requests that arrive earlier wait for it.
CONFIGURATION_WAIT_S = 0.6
CONFIGURATION_CHECK_S = 0.02
# The answer must be sent this long before the caller's deadline.
ANSWER_MARGIN_US = 20 * MILLISECOND_US
# A request that waited longer for its slot is charged again at the time of
# sending; see `SEND_DELAY_US` of the meters.
RENEW_CHARGE_AFTER_US = 120 * MILLISECOND_US
# Another host can serve the request at once.
STOPPING_RETRY_US = 50 * MILLISECOND_US
CROWDED_RETRY_US = 300 * MILLISECOND_US
METER_RETRY_AFTER_US = 300 * MILLISECOND_US
# Of an id that a caller chose, in log lines.
MAX_LOGGED_ID_CHARS = 128
_FINGERPRINT_BITS = 63
_MAY_HAVE_RUN = frozenset(
    (SendOutcome.FAILED, SendOutcome.LOST, SendOutcome.TIMED_OUT),
)
_UNSENT = frozenset((SendOutcome.UNREACHABLE, SendOutcome.WITHHELD))
_NOT_ADMITTED = frozenset(
    (messages.Admission.REFUSED, messages.Admission.NOT_OWNER),
)

RecordRequest = Callable[[RequestTrace, CallerAnswer, int], None]
GetPriority = Callable[[CustomerSpec | None, RouteSpec], int]


@dataclass(slots=True)
class RequestContext:
    """A routed request and the state of its attempts.

    `sends` counts the attempts that were sent to a target, `unsent_attempts`
    those that could not connect or were withheld; `excluded` holds the targets
    of both.
    """

    request: CallerRequest
    route: RouteSpec
    customer: CustomerSpec | None
    service: str
    deadline_us: int
    trace: RequestTrace
    charge: Charge | None = None
    charged_us: int = 0
    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    unsent_attempts: int = 0
    # The last attempt that may have run the request.
    may_have_run: TargetAnswer | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.is_repeatable

    @property
    def customer_name(self) -> str:
        """Name of the customer, or '' on an open route."""
        return '' if self.customer is None else self.customer.name

    @property
    def is_surplus(self) -> bool:
        """Whether the request is beyond its customer's limit."""
        if self.charge is None:
            return False
        return self.charge.admission is messages.Admission.SURPLUS


class Proxy:
    """Serves callers' requests: admits them, gets slots, sends to targets."""

    __slots__ = (
        '_fleet_client',
        '_get_priority',
        '_is_refusing',
        '_is_refusing_new',
        '_node',
        '_record_request',
        '_rng',
        '_target_limit',
        '_upstream',
        '_waiting',
    )

    def __init__(
        self,
        node: FleetNode,
        fleet_client: FleetClient,
        upstream: Upstream,
        priority: GetPriority,
        record: RecordRequest,
        rng: random.Random,
        target_limit: TargetLimit | None = None,
    ) -> None:
        """Serve with the state of `node`; call `record` for each request."""
        self._target_limit = target_limit or TargetLimit()
        self._node = node
        self._fleet_client = fleet_client
        self._upstream = upstream
        self._get_priority = priority
        self._record_request = record
        self._rng = rng
        self._is_refusing = False
        self._is_refusing_new = False
        self._waiting: set[asyncio.Task[GrantedSlot | messages.SlotRefused]]
        self._waiting = set()

    def refuse_new(self) -> None:
        """Refuse requests that arrive from now on.

        Load pattern: a request was still arriving as its host stopped. Its
        target may not answer before the process ends.
        """
        self._is_refusing_new = True

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait for a slot, now and from now on.

        Load pattern: a host stops while targets are busy. Its callers can
        still be served by other hosts, if they learn in time that the request
        has not run.
        """
        self._is_refusing = True
        for task in self._waiting:
            task.cancel()

    async def check_head(self, request: CallerRequest) -> Rejection | None:
        """Return why a request is rejected whatever its body is, if it is."""
        trace = RequestTrace(request.request_id[:MAX_LOGGED_ID_CHARS])
        # `handle` waits for targets; waiting here too would double the time.
        found = await self._find_route(request, trace, needs_targets=False)
        if isinstance(found, CallerAnswer):
            return Rejection(found, trace)
        return None

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request and record what happened to it."""
        rejection = request.rejection
        trace = RequestTrace(request.request_id[:MAX_LOGGED_ID_CHARS])
        if rejection is not None:
            trace = rejection.trace
        answer = refusal(
            HTTPStatus.BAD_GATEWAY,
            Verdict.MAY_HAVE_RUN,
            Reason.CANCELLED,
        )
        try:
            if rejection is None:
                answer = await self._serve(request, trace)
            else:
                answer = rejection.answer
        except Exception:
            # On a bug in this program, the caller still gets an answer.
            logger.bind(request_id=request.request_id).exception(
                'unexpected error while serving a request',
            )
        finally:
            latency_us = boot_time_us() - request.received_us
            self._record_request(trace, answer, latency_us)
        return answer

    async def _serve(
        self,
        request: CallerRequest,
        trace: RequestTrace,
    ) -> CallerAnswer:
        found = await self._find_route(request, trace, needs_targets=True)
        if isinstance(found, CallerAnswer):
            return found
        route, customer = found
        return await self._serve_route(request, route, customer, trace)

    async def _find_route(
        self,
        request: CallerRequest,
        trace: RequestTrace,
        *,
        needs_targets: bool,
    ) -> CallerAnswer | tuple[RouteSpec, CustomerSpec | None]:
        """Return the route and customer of a request, or its refusal."""
        if self._is_refusing_new:
            return _unavailable_answer(Reason.STOPPING, STOPPING_RETRY_US)
        deployment = await self._wait_for_deployment(
            needs_targets=needs_targets
        )
        if deployment is None:
            return _unavailable_answer(
                Reason.NO_CONFIGURATION, NOT_READY_RETRY_US
            )
        trace.config_version = deployment.version
        path = request.path.partition(b'?')[0].decode('latin-1')
        route = deployment.find_route(request.host, path)
        customer = deployment.find_customer(request.key)
        reason = find_refusal(
            deployment, route, customer, has_key=bool(request.key)
        )
        if route is not None:
            trace.route = route.name
        if reason is Reason.LIMIT_UNAVAILABLE and customer is not None:
            trace.customer = customer.name
            trace.detail = 'the limit cannot be read from the configuration'
        if reason is not None:
            return refusal_by_configuration(reason)
        assert route is not None
        return route, customer

    async def _wait_for_deployment(
        self, *, needs_targets: bool
    ) -> Deployment | None:
        """Return the configuration; wait briefly until it and targets exist."""
        with suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                while self._node.deployment is None or (
                    needs_targets and not self._node.targets
                ):
                    await asyncio.sleep(CONFIGURATION_CHECK_S)
        return self._node.deployment

    async def _serve_route(
        self,
        request: CallerRequest,
        route: RouteSpec,
        customer: CustomerSpec | None,
        trace: RequestTrace,
    ) -> CallerAnswer:
        trace.service = route.choose_service(self._rng)
        context = _create_context(request, route, customer, trace)
        if customer is not None:
            trace.customer = customer.name
            context.charge = await self._fleet_client.charge(
                customer, context.deadline_us
            )
            context.charged_us = boot_time_us()
            trace.meter = context.charge.meter
            trace.charge_us = context.charged_us - request.received_us
            if not _is_admitted(context.charge):
                return self._limited_answer(context, context.charge)
        answer = await self._run_attempts(context)
        if answer.verdict is Verdict.NOT_RUN and customer is not None:
            assert context.charge is not None
            self._fleet_client.cancel_charge(context.charge, customer)
        return answer

    def _limited_answer(
        self,
        context: RequestContext,
        charge: Charge,
    ) -> CallerAnswer:
        """Answer a request that is over its limit, or could not be metered."""
        assert context.customer is not None
        if context.may_have_run is None:
            self._fleet_client.report_over_limit(context.service)
        if charge.admission is messages.Admission.NOT_OWNER:
            return _unavailable_answer(
                Reason.LIMIT_UNAVAILABLE, METER_RETRY_AFTER_US
            )
        context.trace.detail = (
            f'limit {context.customer.rate_per_s}/s, '
            f'burst {context.customer.burst_requests}'
        )
        return refusal(
            HTTPStatus.TOO_MANY_REQUESTS,
            Verdict.NOT_RUN,
            Reason.OVER_LIMIT,
            charge.result.retry_after_us,
        )

    async def _confirm_charge(
        self,
        context: RequestContext,
        slot: GrantedSlot,
    ) -> Charge | None:
        """Charge the next send; return the charge if it is not admitted.

        Return the slot unless the send is admitted, also when cancelled.
        """
        is_admitted = False
        try:
            charge = await self._charge_send(context)
            is_admitted = charge is None or _is_admitted(charge)
        finally:
            if not is_admitted:
                self._return_slot(context, slot)
        return None if is_admitted else charge

    async def _charge_send(self, context: RequestContext) -> Charge | None:
        """Charge the next send of a customer's request.

        A retry is charged apart. A first send that waited for its slot renews
        its charge.
        """
        customer, charge = context.customer, context.charge
        if customer is None or charge is None:
            return None
        waited_us = boot_time_us() - context.charged_us
        if context.may_have_run is not None:
            charge = await self._fleet_client.charge(
                customer, context.deadline_us, is_retry=True
            )
        elif waited_us > RENEW_CHARGE_AFTER_US:
            charge = await self._fleet_client.renew(
                charge, customer, context.deadline_us
            )
            context.charged_us = boot_time_us()
        return charge

    async def _run_attempts(self, context: RequestContext) -> CallerAnswer:
        while True:
            requested_us = boot_time_us()
            if requested_us >= context.deadline_us:
                return _deadline_answer(context)
            if not self._target_limit.has_room(context.service):
                return _crowded_answer(context)
            slot = await self._acquire(context, requested_us)
            if slot is None:
                return _failure_answer(
                    context,
                    _unavailable_answer(Reason.STOPPING, STOPPING_RETRY_US),
                )
            if isinstance(slot, messages.SlotRefused):
                return _refused_answer(context, slot)
            answer = await self._send(context, slot, requested_us)
            if isinstance(answer, CallerAnswer):
                return answer
            if answer.outcome in _MAY_HAVE_RUN:
                context.may_have_run = answer
            if not self._may_retry(context, answer):
                return _final_answer(context, answer)

    async def _send(
        self, context: RequestContext, slot: GrantedSlot, requested_us: int
    ) -> TargetAnswer | CallerAnswer:
        """Send a request with a slot; return the refusal if it must not be."""
        if not self._target_limit.has_room(context.service):
            self._return_slot(context, slot)
            return _crowded_answer(context)
        with self._target_limit.use(context.service):
            refused = await self._confirm_charge(context, slot)
            if refused is not None:
                return _failure_answer(
                    context, self._limited_answer(context, refused)
                )
            return await self._attempt(context, slot, requested_us)

    async def _acquire(
        self, context: RequestContext, requested_us: int
    ) -> GrantedSlot | messages.SlotRefused | None:
        """Return a slot or its refusal; None if this host stops meanwhile."""
        if self._is_refusing:
            return None
        task = asyncio.ensure_future(
            self._fleet_client.acquire(
                self._slot_request(context, requested_us), context.deadline_us
            ),
        )
        self._waiting.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if self._is_refusing and task.cancelled():
                return None
            self._give_up(context, task)
            raise
        finally:
            self._waiting.discard(task)

    def _give_up(
        self,
        context: RequestContext,
        task: asyncio.Task[GrantedSlot | messages.SlotRefused],
    ) -> None:
        """Withdraw a request for a slot, or return the slot just granted."""
        if not task.done():
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            slot = task.result()
            if isinstance(slot, GrantedSlot):
                self._return_slot(context, slot)

    async def _attempt(
        self,
        context: RequestContext,
        slot: GrantedSlot,
        requested_us: int,
    ) -> TargetAnswer:
        attempt = AttemptTrace(
            broker=slot.broker,
            target_id=slot.grant.target_id,
            outcome=SendOutcome.ABANDONED,
            slot_wait_us=boot_time_us() - requested_us,
            latency_us=0,
            proven_age_us=slot.grant.proven_age_us,
            is_reused=False,
            granted_version=slot.grant.state_version,
            known_version=self._node.targets_version,
            is_known_as_left=self._node.knows_as_left(slot.grant),
        )
        context.trace.attempts.append(attempt)
        context.excluded.add(slot.grant.target_id)
        try:
            answer = await self._upstream.send(
                context.request,
                slot.grant,
                context.customer_name,
                context.deadline_us,
                is_repeatable=context.is_repeatable,
            )
            self._record_answer(slot.grant, attempt, answer)
        finally:
            self._report(context, slot, attempt, requested_us)
        attempt.is_reused = answer.is_reused
        attempt.cause = answer.cause
        if answer.outcome in _UNSENT:
            context.unsent_attempts += 1
        else:
            context.sends += 1
        return answer

    def _record_answer(
        self,
        grant: messages.SlotGrant,
        attempt: AttemptTrace,
        answer: TargetAnswer,
    ) -> None:
        """Keep what a target says of itself; log it unless it is known."""
        attempt.outcome = answer.outcome
        attempt.answer_bytes = len(answer.body)
        notice = answer.notice
        attempt.said = notice
        if not notice:
            return
        now_us = boot_time_us()
        known = self._node.notice_of(grant, now_us)
        incarnation = Incarnation(grant.target_id, grant.started_ms)
        self._node.notices.record(incarnation, notice, now_us)
        if notice.is_leaving > known.is_leaving or notice.pause_us:
            logger.bind(
                target=grant.target_id,
                started_ms=grant.started_ms,
                is_leaving=notice.is_leaving,
                pause_us=notice.pause_us,
            ).info('a target has told that it leaves or pauses')

    def _return_slot(self, context: RequestContext, slot: GrantedSlot) -> None:
        """Release a slot that was not used."""
        attempt = AttemptTrace(
            broker=slot.broker,
            target_id=slot.grant.target_id,
            outcome=SendOutcome.ABANDONED,
            slot_wait_us=0,
            latency_us=0,
            proven_age_us=slot.grant.proven_age_us,
            is_reused=False,
        )
        self._report(context, slot, attempt, boot_time_us())

    def _report(
        self,
        context: RequestContext,
        slot: GrantedSlot,
        attempt: AttemptTrace,
        requested_us: int,
    ) -> None:
        now_us = boot_time_us()
        attempt.latency_us = now_us - requested_us - attempt.slot_wait_us
        attempt.notice = self._node.notice_of(slot.grant, now_us)
        self._fleet_client.report(
            slot,
            messages.SlotReport(
                ask_id=slot.grant.ask_id,
                service_name=context.service,
                target_id=slot.grant.target_id,
                started_ms=slot.grant.started_ms,
                outcome=attempt.outcome,
                latency_us=attempt.latency_us,
                fingerprint=_fingerprint(context),
                is_leaving=attempt.notice.is_leaving,
                pause_us=attempt.notice.pause_us,
                request_class=_request_class(context),
                body_bytes=len(context.request.body),
                answer_bytes=attempt.answer_bytes,
            ),
        )

    def draft_slot_request(
        self,
        request: CallerRequest,
        route: RouteSpec,
        customer: CustomerSpec | None,
        service: str,
    ) -> messages.SlotRequest:
        """Build the first request for a slot that a request would lead to."""
        trace = RequestTrace(request.request_id[:MAX_LOGGED_ID_CHARS])
        trace.service = service
        context = _create_context(request, route, customer, trace)
        return self._slot_request(context, request.received_us)

    def _slot_request(
        self,
        context: RequestContext,
        now_us: int,
    ) -> messages.SlotRequest:
        route = context.route
        objective_us = context.request.received_us + route.objective_us
        has_retry = context.sends + 1 < route.max_attempts
        return messages.SlotRequest(
            ask_id=0,
            service_name=context.service,
            kind=route.kind,
            priority=self._get_priority(context.customer, route),
            time_left_us=context.deadline_us - now_us,
            objective_left_us=objective_us - now_us,
            is_repeat=bool(context.sends),
            may_repeat=context.is_repeatable and has_retry,
            is_surplus=context.is_surplus,
            fingerprint=_fingerprint(context),
            connected=self._upstream.connected_targets(now_us),
            excluded=tuple(context.excluded),
            customer=context.customer_name,
            request_class=_request_class(context),
            body_bytes=len(context.request.body),
        )

    def _may_retry(self, context: RequestContext, answer: TargetAnswer) -> bool:
        match answer.outcome:
            case SendOutcome.UNREACHABLE | SendOutcome.WITHHELD:
                return context.unsent_attempts < MAX_UNSENT_ATTEMPTS
            case SendOutcome.SHED | SendOutcome.MISDIRECTED:
                return context.sends < context.route.max_attempts
            case SendOutcome.FAILED | SendOutcome.LOST:
                has_more = context.sends < context.route.max_attempts
                return context.is_repeatable and has_more
            case _:
                return False


def _create_context(
    request: CallerRequest,
    route: RouteSpec,
    customer: CustomerSpec | None,
    trace: RequestTrace,
) -> RequestContext:
    time_left_us = request.time_left_us
    if route.timeout_us:
        time_left_us = min(time_left_us, route.timeout_us)
    return RequestContext(
        request=request,
        route=route,
        customer=customer,
        service=trace.service,
        deadline_us=request.received_us + time_left_us - ANSWER_MARGIN_US,
        trace=trace,
    )


def refusal_by_configuration(reason: Reason) -> CallerAnswer:
    """Build the answer to a request that the configuration refuses."""
    match reason:
        case Reason.NO_ROUTE:
            return _rejected_answer(HTTPStatus.NOT_FOUND, reason)
        case Reason.NO_KEY | Reason.UNKNOWN_KEY:
            return _rejected_answer(HTTPStatus.UNAUTHORIZED, reason)
        case _:
            return _unavailable_answer(reason, NOT_READY_RETRY_US)


def _is_admitted(charge: Charge) -> bool:
    return charge.admission not in _NOT_ADMITTED


def _final_answer(
    context: RequestContext, answer: TargetAnswer
) -> CallerAnswer:
    """Build the caller's answer from the outcome of the last attempt."""
    if answer.outcome is SendOutcome.SERVED:
        return _relayed_answer(answer, Verdict.RAN, None)
    return _failure_answer(
        context, _unavailable_answer(Reason.NO_TARGET, NOT_READY_RETRY_US)
    )


def _refused_answer(
    context: RequestContext,
    refused: messages.SlotRefused,
) -> CallerAnswer:
    """Build the caller's answer after a broker refused a slot."""
    reason = Reason.OVERLOAD
    if refused.cause is RefusalCause.QUARANTINED:
        reason = Reason.QUARANTINED
    elif refused.cause is RefusalCause.NO_TARGET:
        reason = Reason.NO_TARGET
    elif refused.cause is RefusalCause.PAUSED:
        reason = Reason.PAUSED
    elif refused.cause is RefusalCause.NOT_READY:
        reason = Reason.NO_CONFIGURATION
    return _failure_answer(
        context, _unavailable_answer(reason, refused.retry_after_us)
    )


def _crowded_answer(context: RequestContext) -> CallerAnswer:
    """Answer a request whose service uses its share of the connections."""
    return _failure_answer(
        context, _unavailable_answer(Reason.OVERLOAD, CROWDED_RETRY_US)
    )


def _deadline_answer(context: RequestContext) -> CallerAnswer:
    return _failure_answer(
        context, _unavailable_answer(Reason.DEADLINE, NOT_READY_RETRY_US)
    )


def _failure_answer(
    context: RequestContext, not_run_answer: CallerAnswer
) -> CallerAnswer:
    """Return `not_run_answer` if no attempt can have run the request.

    Otherwise report the last attempt that may have run it.
    """
    earlier = context.may_have_run
    if earlier is None:
        return not_run_answer
    match earlier.outcome:
        case SendOutcome.FAILED:
            verdict = Verdict.MAY_HAVE_RUN
            return _relayed_answer(earlier, verdict, Reason.TARGET_FAILED)
        case SendOutcome.TIMED_OUT:
            return refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                Reason.DEADLINE,
            )
        case _:
            return _lost_answer()


def _lost_answer() -> CallerAnswer:
    return refusal(
        HTTPStatus.BAD_GATEWAY,
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
    )


def _relayed_answer(
    answer: TargetAnswer,
    verdict: Verdict,
    reason: Reason | None,
) -> CallerAnswer:
    return CallerAnswer(
        status=answer.status,
        phrase=answer.phrase,
        headers=answer.headers,
        body=answer.body,
        verdict=verdict,
        reason=reason,
    )


def _unavailable_answer(reason: Reason, retry_after_us: int) -> CallerAnswer:
    return refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Verdict.NOT_RUN,
        reason,
        retry_after_us,
    )


def _rejected_answer(status: HTTPStatus, reason: Reason) -> CallerAnswer:
    return refusal(status, Verdict.NOT_RUN, reason)


def _request_class(context: RequestContext) -> int:
    return messages.classify_request(context.route.name, context.request.method)


def _fingerprint(context: RequestContext) -> int:
    """Hash the parts of a request that can make it crash a target.

    The value has 63 bits, so that it is positive as a signed integer.
    """
    request = context.request
    digest = xxhash.xxh64(context.customer_name.encode())
    digest.update(request.method)
    digest.update(request.path)
    digest.update(request.body)
    return int(digest.intdigest()) >> (64 - _FINGERPRINT_BITS)
