"""Explains the outcome of one request from the logs of several hosts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from foxtailreach.exceptions import LogError, NotFoundError

_US_PER_MS = 1000


@dataclass(slots=True, frozen=True)
class LoggedRequest:
    """A log line about a request."""

    time: str
    host: str
    fields: dict[str, Any]


def explain(request_id: str, paths: Iterable[Path]) -> list[str]:
    """Describe a request in lines of text, the oldest log line first.

    Raises LogError if a file cannot be read, and NotFoundError if no file
    has a line about the request.
    """
    found = [
        line
        for path in paths
        for line in _read_requests(path)
        if line.fields.get('request_id') == request_id
    ]
    if not found:
        raise NotFoundError(
            f'no log line about request {request_id}; successful requests '
            'are logged only up to a rate limit',
        )
    found.sort(key=lambda line: line.time)
    return [text for line in found for text in _describe(line)]


def _read_requests(path: Path) -> Iterator[LoggedRequest]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        raise LogError(f'{path}: {error.strerror}') from error
    for line in text.splitlines():
        _, brace, rest = line.partition('{')
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # The file may also hold lines of other programs.
            continue
        if isinstance(fields, dict) and fields.get('message') == 'request':
            yield LoggedRequest(
                str(fields.get('time', '')),
                str(fields.get('host', '')),
                fields,
            )


def _describe(line: LoggedRequest) -> Iterator[str]:
    fields = line.fields
    yield f'{line.time} {line.host}: status {fields.get("status")}, ' + (
        f'{fields.get("verdict")}, {fields.get("reason") or "served"}, '
        f'after {_in_ms(fields.get("latency_us"))}'
    )
    yield (
        f'  route {fields.get("route") or "none"}, '
        f'service {fields.get("service") or "none"}, '
        f'customer {fields.get("customer") or "none"}, '
        f'configuration {fields.get("config_version")}, '
        f'store read {_in_ms(fields.get("state_age_us"))} before'
    )
    if fields.get('meter'):
        yield (
            f'  metered by {fields["meter"]} '
            f'after {_in_ms(fields.get("charge_us"))}'
        )
    if fields.get('detail'):
        yield f'  decided by: {fields["detail"]}'
    for number, attempt in enumerate(fields.get('attempts', ()), 1):
        yield f'  attempt {number}: {_describe_attempt(attempt)}'


def _describe_attempt(attempt: dict[str, Any]) -> str:
    proven_age_us = attempt.get('proven_age_us', -1)
    evidence = 'no recent success'
    if proven_age_us >= 0:
        evidence = f'last good answer {_in_ms(proven_age_us)} before'
    connection = 'kept' if attempt.get('is_reused') else 'new'
    cause = f': {attempt["cause"]}' if attempt.get('cause') else ''
    if attempt.get('is_known_as_left'):
        cause = (
            f'{cause}; known here as left by version '
            f'{attempt.get("known_version")} of the targets, granted by '
            f'{attempt.get("granted_version")}'
        )
    return (
        f'{attempt.get("target_id")} ({evidence}), granted by '
        f'{attempt.get("broker")} after {_in_ms(attempt.get("slot_wait_us"))}, '
        f'{connection} connection, {attempt.get("outcome")} '
        f'after {_in_ms(attempt.get("latency_us"))}{cause}'
    )


def _in_ms(duration_us: Any) -> str:
    if not isinstance(duration_us, int) or duration_us < 0:
        return 'an unknown time'
    return f'{duration_us / _US_PER_MS:.1f} ms'
