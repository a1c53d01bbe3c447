"""Asks a running host where a request would go now, and why."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from foxtailreach.exceptions import FoxtailreachError

# Three pools are asked at most, each of three brokers for 0.14 s.
TIMEOUT_S = 5
URL_PATH = '/foxtailreach/where'
_MS_PER_S = 1000


def fetch_where(address: str, arguments: Mapping[str, Any]) -> dict[str, Any]:
    """Return what the host with a metrics address (`host:port`) answers.

    Raises FoxtailreachError if it does not answer or refuses the query.
    """
    given = {name: text for name, text in arguments.items() if text}
    return asyncio.run(_fetch(address, urlencode(given)))


def describe_where(page: Mapping[str, Any]) -> Iterator[str]:
    """Describe an answer in lines of text."""
    request = page['request']
    route = page.get('route')
    yield (
        f'{request["method"]} {request["host"]}{request["path"]}, '
        f'{request["body_bytes"]} bytes, '
        f'customer {request["customer"] or "none"}, '
        f'domain {request["domain"]}, asked {page["asked_host"]}'
    )
    yield f'decision: {_describe_decision(page["decision"])}'
    if route is not None:
        shares = ', '.join(
            f'{service} (weight {weight})'
            for service, weight in route['shares'].items()
        )
        yield f'route {route["name"]} ({route["kind"]}), services: {shares}'
    yield (
        f'limit of the customer: {page["limit"]}; '
        f'configuration {page["configuration"]["version"]}, '
        f'confirmed {_age(page["configuration"]["age_ms"])}; '
        f'{page["targets"]["count"]} targets, '
        f'read {_age(page["targets"]["age_ms"])}'
    )
    if not page.get('is_quarantine_checked', True):
        yield 'quarantine: not checked, as the body is not known'
    for step in page['pools']:
        yield from _describe_pool(step)


async def _fetch(address: str, query: str) -> dict[str, Any]:
    url = f'http://{address}{URL_PATH}?{query}'
    try:
        response = await AsyncHTTPClient().fetch(
            url, request_timeout=TIMEOUT_S, raise_error=False
        )
    except (HTTPClientError, OSError, ValueError) as error:
        raise FoxtailreachError(
            f'no host answers at {address}: {error}'
        ) from error
    try:
        page: dict[str, Any] = json.loads(response.body or b'')
    except ValueError as error:
        raise FoxtailreachError(
            f'no host explains requests at {address}: {response.reason}'
        ) from error
    error_text = page.get('error')
    if error_text:
        raise FoxtailreachError(error_text)
    return page


def _describe_pool(step: Mapping[str, Any]) -> Iterator[str]:
    silent = ', '.join(step['brokers_without_answer'])
    if silent:
        yield f'pool {step["pool"]}: no answer from {silent}'
    if not step['broker']:
        return
    inputs = step['inputs']
    yield (
        f'pool {step["pool"]}, broker {step["broker"]}: '
        f'{_describe_decision(step["decision"])}'
    )
    yield (
        f'  inputs of the broker: configuration {inputs["config_version"]}, '
        f'confirmed {_age(inputs["config_age_ms"])}; '
        f'targets read {_age(inputs["targets_age_ms"])}'
    )
    queue = step['queue']
    yield (
        f'  expected service time {step["service_time_ms"]} ms; '
        f'{queue["requests"]} requests wait, {queue["work_ms"]} ms of work'
    )
    for candidate in step['candidates']:
        yield f'  {_describe_candidate(candidate)}'
    rest = step['rest']
    others = rest['proven'] + rest['unproven'] + rest['ejected']
    if others:
        yield (
            f'  {others} more: {rest["proven"]} proven, '
            f'{rest["unproven"]} unproven, {rest["ejected"]} ejected; '
            f'{rest["unusable"]} of them get no request now'
        )


def _describe_candidate(candidate: Mapping[str, Any]) -> str:
    flags = ', '.join(candidate['flags']) or 'none'
    pause = ''
    if candidate['pause_left_ms']:
        pause = f', pauses for {candidate["pause_left_ms"]} ms'
    return (
        f'{candidate["target_id"]} in {candidate["domain"]}: '
        f'{candidate["status"]}, cost {candidate["cost_ms"]} ms, '
        f'last success {_age(candidate["served_age_ms"])}, '
        f'last failure {_age(candidate["failed_age_ms"])}, '
        f'{candidate["granted"]} of {candidate["slots"]} slots granted, '
        f'{candidate["remaining_ms"]} ms of work left, '
        f'finish {candidate["finish_ms"]} ms after a grant{pause}; '
        f'flags: {flags}'
    )


def _describe_decision(decision: Mapping[str, Any]) -> str:
    match decision['decision']:
        case 'granted':
            rule = decision['rule'] or 'behind the requests that wait'
            return f'target {decision["target"]} (rule: {rule})'
        case 'queued':
            return f'waits in the queue for about {decision["wait_ms"]} ms'
        case 'referred':
            return f'referred to the pool of domain {decision["domain"]}'
        case 'refused':
            return _describe_refusal(decision)
        case 'busy':
            return 'not explained, the broker has just answered another query'
        case 'too-large':
            return 'not explained, too many requests wait at the broker'
        case _:
            return 'not known, no broker of the pool has answered'


def _describe_refusal(decision: Mapping[str, Any]) -> str:
    status = decision.get('status')
    if status:
        return f'refused, {decision["cause"]}, status {status}'
    retry_after_s = decision['retry_after_ms'] / _MS_PER_S
    return f'refused, {decision["cause"]}, Retry-After {retry_after_s:.2f} s'


def _age(age_ms: int) -> str:
    return 'never' if age_ms < 0 else f'{age_ms} ms ago'
