"""Explains over HTTP where a request would go now, without sending it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, replace
from http import HTTPStatus
from typing import Any

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import CustomerSpec, RouteSpec
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.placement_messages import (
    Candidate,
    CandidateFlag,
    Decision,
    PlacementReport,
)
from foxtailreach.core.dispatch.pool_messages import SlotReferral, SlotScope
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.dispatch.route_checks import find_refusal
from foxtailreach.core.dispatch.target_record import TargetStatus
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.fleet_client import FleetClient
from foxtailreach.gateway.http_types import CallerRequest
from foxtailreach.gateway.pool_order import ask_pools
from foxtailreach.gateway.proxy import Proxy, refusal_by_configuration
from foxtailreach.gateway.where_query import QueryError, WhereQuery

PATH = '/foxtailreach/where'
# A copy of a large broker's state takes up to 0.1 s of a core, and callers'
# requests wait meanwhile.
MIN_ANSWER_INTERVAL_US = 200 * MILLISECOND_US
_FINAL_DECISIONS = frozenset((Decision.GRANTED, Decision.QUEUED))


@dataclass(slots=True, frozen=True)
class InputAges:
    """Ages of this host's configuration and targets; -1 if not known."""

    config_age_us: int
    state_age_us: int


class PlacementAnswers:
    """Answers the placement queries of other hosts, at a limited rate."""

    __slots__ = ('_get_ages', '_last', '_last_us', '_node')

    def __init__(
        self, node: FleetNode, get_ages: Callable[[], InputAges]
    ) -> None:
        """Answer with the state of `node`; `get_ages` tells how old it is."""
        self._node = node
        self._get_ages = get_ages
        self._last: tuple[str, PlacementReport] | None = None
        self._last_us = -MIN_ANSWER_INTERVAL_US

    def answer(
        self, sender: str, query: messages.PlacementQuery
    ) -> PlacementReport:
        """Answer a host; a query that is sent again gets the same answer.

        Those of this host itself have no `ask_id`.
        """
        now_us = boot_time_us()
        if self._last is not None and query.ask_id:
            host_id, report = self._last
            if (host_id, report.ask_id) == (sender, query.ask_id):
                return report
        if now_us - self._last_us < MIN_ANSWER_INTERVAL_US:
            return PlacementReport(
                query.ask_id, query.request.service_name, Decision.BUSY
            )
        report = self._explain(sender, query)
        self._last = (sender, report)
        self._last_us = boot_time_us()
        return report

    def _explain(
        self, sender: str, query: messages.PlacementQuery
    ) -> PlacementReport:
        ages = self._get_ages()
        deployment = self._node.deployment
        return replace(
            self._node.explain(sender, query, boot_time_us()),
            config_version=-1 if deployment is None else deployment.version,
            config_age_us=ages.config_age_us,
            targets_version=self._node.targets_version,
            state_age_us=ages.state_age_us,
        )


class WherePage:
    """Answers queries of operators about a request that is not sent."""

    __slots__ = (
        '_answers',
        '_client',
        '_get_ages',
        '_is_busy',
        '_node',
        '_proxy',
    )

    def __init__(
        self,
        node: FleetNode,
        client: FleetClient,
        proxy: Proxy,
        answers: PlacementAnswers,
        get_ages: Callable[[], InputAges],
    ) -> None:
        """Explain with the state of `node`, and ask brokers by `client`."""
        self._node = node
        self._client = client
        self._proxy = proxy
        self._answers = answers
        self._get_ages = get_ages
        self._is_busy = False

    async def answer(
        self, arguments: Mapping[str, list[bytes]]
    ) -> tuple[HTTPStatus, bytes]:
        """Return the status and the JSON page for the arguments of a query."""
        if self._is_busy:
            error = 'another query is being answered'
            return HTTPStatus.SERVICE_UNAVAILABLE, _encode({'error': error})
        self._is_busy = True
        try:
            return HTTPStatus.OK, _encode(await self._explain(arguments))
        except QueryError as fault:
            return HTTPStatus.BAD_REQUEST, _encode({'error': str(fault)})
        finally:
            self._is_busy = False

    async def _explain(
        self, arguments: Mapping[str, list[bytes]]
    ) -> dict[str, Any]:
        query = WhereQuery.parse(arguments)
        self._check_domain(query.domain)
        page = self._describe_host(query)
        deployment = self._node.deployment
        if deployment is None:
            return {**page, **_refused('no-configuration', HTTPStatus(503))}
        customer = query.find_customer(deployment)
        route = deployment.find_route(query.host, query.path)
        reason = find_refusal(deployment, route, customer, has_key=False)
        if route is not None:
            page['route'] = {
                'name': route.name,
                'kind': route.kind.value,
                'shares': {
                    share.service: share.weight for share in route.shares
                },
            }
        if reason is not None:
            status = refusal_by_configuration(reason).status
            return {**page, **_refused(reason.value, HTTPStatus(status))}
        if query.body_bytes > deployment.limits.max_body_bytes:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return {**page, **_refused('malformed', status)}
        assert route is not None
        return {**page, **await self._ask(query, route, customer)}

    def _describe_host(self, query: WhereQuery) -> dict[str, Any]:
        ages = self._get_ages()
        deployment = self._node.deployment
        return {
            'asked_host': self._node.host_id,
            'request': {**asdict(query), 'domain': self._domain(query)},
            'limit': 'not checked',
            'configuration': {
                'version': -1 if deployment is None else deployment.version,
                'age_ms': _in_ms(ages.config_age_us),
            },
            'targets': {
                'count': len(self._node.targets),
                'version': self._node.targets_version,
                'age_ms': _in_ms(ages.state_age_us),
            },
        }

    async def _ask(
        self,
        query: WhereQuery,
        route: RouteSpec,
        customer: CustomerSpec | None,
    ) -> dict[str, Any]:
        """Ask the brokers of the service as a request would."""
        service = query.choose_service(route)
        draft = self._draft(query, route, customer, service)
        pool = self._node.pool_of(service)
        if pool.domain:
            pool = Pool(service, self._domain(query))
        steps: list[dict[str, Any]] = []

        async def ask(
            asked: Pool, scope: SlotScope
        ) -> SlotReferral | PlacementReport:
            request = replace(draft, service_name=asked.name, scope=scope)
            placement = messages.PlacementQuery(0, self._domain(query), request)
            step, report = await self._ask_pool(asked, placement)
            steps.append(step)
            if report.decision is Decision.REFERRED:
                return SlotReferral(0, report.domain, report.is_final)
            return report

        report = await ask_pools(
            pool, ask, lambda decided: decided.decision in _FINAL_DECISIONS
        )
        return {
            'service': service,
            'priority': draft.priority,
            'is_quarantine_checked': bool(draft.fingerprint),
            'decision': _describe_decision(report),
            'pools': steps,
        }

    def _draft(
        self,
        query: WhereQuery,
        route: RouteSpec,
        customer: CustomerSpec | None,
        service: str,
    ) -> messages.SlotRequest:
        """Build the request for a slot.

        The fingerprint of a request covers its body, which is not known, and
        the idle connections of hosts in another domain are not known either.
        """
        request = CallerRequest(
            method=query.method.encode(),
            path=query.path.encode(),
            headers=[],
            body=b'',
            received_us=boot_time_us(),
            request_id='',
            time_left_us=query.time_left_ms * MILLISECOND_US,
            key='',
        )
        draft = self._proxy.draft_slot_request(
            request, route, customer, service
        )
        if self._domain(query) != self._node.domain:
            draft = replace(draft, connected=())
        if query.body_bytes:
            draft = replace(draft, fingerprint=0, body_bytes=query.body_bytes)
        return draft

    async def _ask_pool(
        self, pool: Pool, query: messages.PlacementQuery
    ) -> tuple[dict[str, Any], PlacementReport]:
        """Ask the brokers of a pool in their order until one answers."""
        silent: list[str] = []
        for host_id in self._client.brokers_to_ask(pool):
            report = await self._ask_broker(host_id, query)
            if report is not None and report.decision is Decision.BUSY:
                await asyncio.sleep(MIN_ANSWER_INTERVAL_US / SECOND_US)
                report = await self._ask_broker(host_id, query)
            if report is not None:
                return _describe_step(pool, host_id, silent, report), report
            silent.append(host_id)
        report = PlacementReport(0, pool.name, Decision.UNANSWERED)
        return _describe_step(pool, '', silent, report), report

    async def _ask_broker(
        self, host_id: str, query: messages.PlacementQuery
    ) -> PlacementReport | None:
        if host_id == self._node.host_id:
            return self._answers.answer(host_id, query)
        return await self._client.explain(host_id, query)

    def _check_domain(self, domain: str) -> None:
        """Raise QueryError if no host and no target is in a domain."""
        hosts = self._node.membership.hosts.values()
        known = {target.domain for target in self._node.targets}
        known.update(host.entry.domain for host in hosts)
        if domain and domain not in known:
            raise QueryError(f'there is no failure domain {domain!r}')

    def _domain(self, query: WhereQuery) -> str:
        return query.domain or self._node.domain


def _encode(page: Mapping[str, Any]) -> bytes:
    return json.dumps(page).encode()


def _refused(cause: str, status: HTTPStatus) -> dict[str, Any]:
    """Describe a refusal before a broker is asked."""
    return {
        'decision': {
            'decision': Decision.REFUSED.value,
            'cause': cause,
            'status': status.value,
        },
        'pools': [],
    }


def _describe_decision(report: PlacementReport) -> dict[str, Any]:
    decision: dict[str, Any] = {'decision': report.decision.value}
    match report.decision:
        case Decision.GRANTED:
            decision['target'] = report.target_id
            decision['rule'] = report.rule
        case Decision.QUEUED:
            decision['wait_ms'] = _in_ms(report.wait_us)
        case Decision.REFUSED:
            decision['cause'] = report.cause
            decision['retry_after_ms'] = _in_ms(report.retry_after_us)
        case Decision.REFERRED:
            decision['domain'] = report.domain
    return decision


def _describe_step(
    pool: Pool, broker: str, silent: list[str], report: PlacementReport
) -> dict[str, Any]:
    return {
        'pool': pool.name,
        'broker': broker,
        'brokers_without_answer': silent,
        'decision': _describe_decision(report),
        'service_time_ms': _in_ms(report.work_us),
        'queue': {
            'requests': report.queued,
            'work_ms': _in_ms(report.queued_work_us),
            'wait_ms': _in_ms(report.wait_us),
            'slots': report.room,
        },
        'inputs': {
            'config_version': report.config_version,
            'config_age_ms': _in_ms(report.config_age_us),
            'targets_version': report.targets_version,
            'targets_age_ms': _in_ms(report.state_age_us),
        },
        'candidates': [_describe_target(one) for one in report.candidates],
        'rest': asdict(report.rest),
    }


def _describe_target(candidate: Candidate) -> dict[str, Any]:
    described = asdict(candidate)
    described['status'] = TargetStatus(candidate.status).name.lower()
    described['flags'] = [
        flag.name.lower().replace('_', '-')
        for flag in CandidateFlag
        if flag and flag in candidate.flags and flag.name
    ]
    return described


def _in_ms(duration_us: int) -> int:
    return duration_us if duration_us < 0 else duration_us // MILLISECOND_US
