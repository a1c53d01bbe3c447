"""The way of one request: route, key, limit, slot, target, answer."""

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
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.asking import Asker, Slot
from foxtailreach.gateway.upstream import TargetAnswer, Upstream
from foxtailreach.gateway.wire import (
    AttemptTrace,
    CallerAnswer,
    CallerRequest,
    RequestTrace,
    refusal,
)

# Sends of one request that end before a byte is sent are bounded as well.
MAX_UNSENT_TRIES = 3
NOT_READY_RETRY_US = SECOND_US
# A host that has just started knows the configuration within a few tens of
# milliseconds; requests that come earlier wait for it.
CONFIGURATION_WAIT_S = 0.6
CONFIGURATION_CHECK_S = 0.02
# The answer must leave this long before the caller gives up.
ANSWER_MARGIN_US = 20 * MILLISECOND_US
_FINGERPRINT_BITS = 63
_MAY_HAVE_RUN = frozenset(
    (SendOutcome.FAILED, SendOutcome.LOST, SendOutcome.TIMED_OUT),
)
_US_PER_MS = 1000

Record = Callable[[RequestTrace, CallerAnswer, int], None]
Priority = Callable[[CustomerSpec | None, RouteSpec], int]


@dataclass(slots=True)
class Journey:
    """One request on its way, with what was tried so far."""

    request: CallerRequest
    route: RouteSpec
    customer: CustomerSpec | None
    service: str
    deadline_us: int
    trace: RequestTrace
    is_surplus: bool = False
    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    unsent_tries: int = 0
    # The newest answer after which the request may have run.
    may_have_run: TargetAnswer | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.is_repeatable

    @property
    def customer_name(self) -> str:
        """Name of the customer, or '' on an open route."""
        return '' if self.customer is None else self.customer.name


class Proxy:
    """Serves callers' requests with the help of the fleet."""

    __slots__ = (
        '_asker',
        '_node',
        '_priority',
        '_record',
        '_rng',
        '_upstream',
    )

    def __init__(
        self,
        node: FleetNode,
        asker: Asker,
        upstream: Upstream,
        priority: Priority,
        record: Record,
        rng: random.Random,
    ) -> None:
        """Serve with the state of `node`; `record` gets each outcome."""
        self._node = node
        self._asker = asker
        self._upstream = upstream
        self._priority = priority
        self._record = record
        self._rng = rng

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request and record what happened to it."""
        trace = RequestTrace(request.request_id)
        answer = refusal(
            HTTPStatus.BAD_GATEWAY,
            Verdict.MAY_HAVE_RUN,
            Reason.CANCELLED,
        )
        try:
            answer = await self._serve(request, trace)
        except Exception:
            # A fault of this program; the caller must not wait for ever.
            logger.bind(request_id=request.request_id).exception(
                'request failed unexpectedly',
            )
        finally:
            latency_us = boot_time_us() - request.received_us
            self._record(trace, answer, latency_us)
        return answer

    async def _serve(
        self,
        request: CallerRequest,
        trace: RequestTrace,
    ) -> CallerAnswer:
        deployment = await self._deployment()
        if deployment is None:
            return _not_run(Reason.NO_CONFIGURATION, NOT_READY_RETRY_US)
        trace.config_version = deployment.version
        path = request.path.partition(b'?')[0].decode('latin-1')
        route = deployment.find_route(request.host, path)
        if route is None:
            return _rejected(HTTPStatus.NOT_FOUND, Reason.NO_ROUTE)
        trace.route = route.name
        customer = deployment.find_customer(request.key)
        if deployment.customers and customer is None and not route.is_open:
            reason = Reason.UNKNOWN_KEY if request.key else Reason.NO_KEY
            return _rejected(HTTPStatus.UNAUTHORIZED, reason)
        return await self._serve_route(
            request,
            route,
            customer,
            deployment,
            trace,
        )

    async def _deployment(self) -> Deployment | None:
        """Return the configuration, waiting for the first one a little."""
        with suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                while self._node.deployment is None or not self._node.targets:
                    await asyncio.sleep(CONFIGURATION_CHECK_S)
        return self._node.deployment

    async def _serve_route(
        self,
        request: CallerRequest,
        route: RouteSpec,
        customer: CustomerSpec | None,
        deployment: Deployment,
        trace: RequestTrace,
    ) -> CallerAnswer:
        is_surplus = False
        trace.service = route.choose_service(self._rng)
        if customer is not None:
            trace.customer = customer.name
            charged = await self._asker.charge(customer)
            if charged.admission is messages.Admission.REFUSED:
                trace.detail = (
                    f'limit {customer.rate_per_s}/s, '
                    f'burst {customer.burst_requests}'
                )
                self._asker.turn_away(trace.service)
                return refusal(
                    HTTPStatus.TOO_MANY_REQUESTS,
                    Verdict.NOT_RUN,
                    Reason.OVER_LIMIT,
                    charged.retry_after_us,
                )
            is_surplus = charged.admission is messages.Admission.SURPLUS
        time_left_us = request.time_left_us
        if route.timeout_us:
            time_left_us = min(time_left_us, route.timeout_us)
        journey = Journey(
            request=request,
            route=route,
            customer=customer,
            service=trace.service,
            deadline_us=request.received_us + time_left_us - ANSWER_MARGIN_US,
            trace=trace,
            is_surplus=is_surplus,
        )
        return await self._travel(journey)

    async def _travel(self, journey: Journey) -> CallerAnswer:
        while True:
            asked_us = boot_time_us()
            if asked_us >= journey.deadline_us:
                return _timed_out(journey)
            slot = await self._asker.acquire(
                self._slot_request(journey, asked_us),
                journey.deadline_us,
            )
            if isinstance(slot, messages.SlotRefused):
                return _refused(journey, slot)
            answer = await self._attempt(journey, slot, asked_us)
            if answer.outcome in _MAY_HAVE_RUN:
                journey.may_have_run = answer
            if not self._may_go_on(journey, answer):
                return _final(journey, answer)

    async def _attempt(
        self,
        journey: Journey,
        slot: Slot,
        asked_us: int,
    ) -> TargetAnswer:
        attempt = AttemptTrace(
            broker=slot.broker,
            target_id=slot.grant.target_id,
            outcome=SendOutcome.ABANDONED,
            slot_wait_us=boot_time_us() - asked_us,
            latency_us=0,
            proven_age_us=slot.grant.proven_age_us,
            is_reused=False,
        )
        journey.trace.attempts.append(attempt)
        journey.excluded.add(slot.grant.target_id)
        try:
            answer = await self._upstream.send(
                journey.request,
                slot.grant,
                journey.customer_name,
                journey.deadline_us,
                is_repeatable=journey.is_repeatable,
            )
            attempt.outcome = answer.outcome
            attempt.is_reused = answer.is_reused
        finally:
            self._report(journey, slot, attempt, asked_us)
        if answer.outcome is SendOutcome.UNREACHABLE:
            journey.unsent_tries += 1
        else:
            journey.sends += 1
        return answer

    def _report(
        self,
        journey: Journey,
        slot: Slot,
        attempt: AttemptTrace,
        asked_us: int,
    ) -> None:
        spent_us = boot_time_us() - asked_us
        attempt.latency_us = spent_us - attempt.slot_wait_us
        self._asker.report(
            slot,
            messages.SlotReport(
                ask_id=slot.grant.ask_id,
                service_name=journey.service,
                target_id=slot.grant.target_id,
                started_ms=slot.grant.started_ms,
                outcome=attempt.outcome,
                latency_us=attempt.latency_us,
                fingerprint=_fingerprint(journey),
            ),
        )

    def _slot_request(
        self,
        journey: Journey,
        now_us: int,
    ) -> messages.SlotRequest:
        route = journey.route
        objective_us = journey.request.received_us + route.objective_us
        has_repeat = journey.sends + 1 < route.max_attempts
        return messages.SlotRequest(
            ask_id=0,
            service_name=journey.service,
            kind=route.kind,
            priority=self._priority(journey.customer, route),
            time_left_us=journey.deadline_us - now_us,
            objective_left_us=objective_us - now_us,
            is_repeat=bool(journey.sends),
            may_repeat=journey.is_repeatable and has_repeat,
            is_surplus=journey.is_surplus,
            fingerprint=_fingerprint(journey),
            connected=self._upstream.connected_targets(now_us),
            excluded=tuple(journey.excluded),
        )

    def _may_go_on(self, journey: Journey, answer: TargetAnswer) -> bool:
        match answer.outcome:
            case SendOutcome.UNREACHABLE:
                return journey.unsent_tries < MAX_UNSENT_TRIES
            case SendOutcome.SHED | SendOutcome.MISDIRECTED:
                return journey.sends < journey.route.max_attempts
            case SendOutcome.FAILED | SendOutcome.LOST:
                has_more = journey.sends < journey.route.max_attempts
                return journey.is_repeatable and has_more
            case _:
                return False


def _final(journey: Journey, answer: TargetAnswer) -> CallerAnswer:
    """Turn the end of the last attempt into the caller's answer."""
    if answer.outcome is SendOutcome.SERVED:
        return _passed_on(answer, Verdict.RAN, None)
    return _unserved(journey, _not_run(Reason.NO_TARGET, NOT_READY_RETRY_US))


def _refused(
    journey: Journey,
    refused: messages.SlotRefused,
) -> CallerAnswer:
    """Answer after a broker refused."""
    reason = Reason.OVERLOAD
    if refused.cause is RefusalCause.QUARANTINED:
        reason = Reason.QUARANTINED
    elif refused.cause is RefusalCause.NO_TARGET:
        reason = Reason.NO_TARGET
    elif refused.cause is RefusalCause.NOT_READY:
        reason = Reason.NO_CONFIGURATION
    return _unserved(journey, _not_run(reason, refused.retry_after_us))


def _timed_out(journey: Journey) -> CallerAnswer:
    return _unserved(journey, _not_run(Reason.DEADLINE, NOT_READY_RETRY_US))


def _unserved(journey: Journey, not_run: CallerAnswer) -> CallerAnswer:
    """Return `not_run` only if no attempt can have run the request."""
    earlier = journey.may_have_run
    if earlier is None:
        return not_run
    match earlier.outcome:
        case SendOutcome.FAILED:
            verdict = Verdict.MAY_HAVE_RUN
            return _passed_on(earlier, verdict, Reason.TARGET_FAILED)
        case SendOutcome.TIMED_OUT:
            return refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                Reason.DEADLINE,
            )
        case _:
            return _lost()


def _lost() -> CallerAnswer:
    return refusal(
        HTTPStatus.BAD_GATEWAY,
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
    )


def _passed_on(
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


def _not_run(reason: Reason, retry_after_us: int) -> CallerAnswer:
    return refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Verdict.NOT_RUN,
        reason,
        retry_after_us,
    )


def _rejected(status: HTTPStatus, reason: Reason) -> CallerAnswer:
    return refusal(status, Verdict.NOT_RUN, reason)


def _fingerprint(journey: Journey) -> int:
    """Hash what makes a request crash a target, as a positive value."""
    request = journey.request
    digest = xxhash.xxh64(journey.customer_name.encode())
    digest.update(request.method)
    digest.update(request.path)
    digest.update(request.body)
    return int(digest.intdigest()) >> (64 - _FINGERPRINT_BITS)
