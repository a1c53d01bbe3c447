"""HTTP requests, answers and traces that the gateway's modules exchange."""

from __future__ import annotations

import json
import math
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.dispatch.target_notices import NO_NOTICE, TargetNotice
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.gateway.answer_memory import HeldAnswer, unlimited_answer
from foxtailreach.gateway.body_memory import HeldBody, unlimited_body

RawHeaders = list[tuple[bytes, bytes]]

_US_PER_HUNDREDTH_S = 10_000
MAX_NUMBER_DIGITS = 18
# Hop-by-hop headers, and those that the gateway handles or sets itself.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Lower-case names of the headers with a meaning to the gateway.

    `key_scheme` is not a header but the scheme of `authorization`.
    """

    request_id: bytes
    time_left_ms: bytes
    signature: bytes
    customer: bytes
    expected_target: bytes
    not_executed: bytes
    leaving: bytes
    key_scheme: bytes


@dataclass(slots=True)
class CallerRequest:
    """A complete request from a caller.

    `time_left_us` counts from `received_us`; `key` is the API key, or ''.
    With a `rejection`, it is to be answered with this, and its body was not
    kept.
    """

    method: bytes
    path: bytes
    headers: RawHeaders
    body: bytes
    received_us: int
    request_id: str
    time_left_us: int
    key: str
    held_answer: HeldAnswer = field(default_factory=unlimited_answer)
    held_body: HeldBody = field(default_factory=unlimited_body)
    rejection: Rejection | None = None
    # Return the memory for its head and its answer.
    resources: ExitStack = field(default_factory=ExitStack)

    def release_body(self) -> None:
        """Give up the body and its memory."""
        self.body = b''
        self.held_body.release()

    @property
    def host(self) -> str:
        """Host header in lower case, without the port."""
        name = find_header(self.headers, b'host').decode('latin-1')
        return name.partition(':')[0].lower()


@dataclass(slots=True)
class CallerAnswer:
    """A complete answer to a caller, with its verdict and reason."""

    status: int
    phrase: bytes
    headers: RawHeaders
    body: bytes | bytearray
    verdict: Verdict
    reason: Reason | None = None
    must_close: bool = False


@dataclass(slots=True, frozen=True)
class Rejection:
    """The answer to a request that is rejected by its head, and its trace."""

    answer: CallerAnswer
    trace: RequestTrace


@dataclass(slots=True)
class RequestTrace:
    """History of one request, for its log line and the metrics.

    `meter` is the host that metered it, or '' if none did; `charge_us` is the
    time until then.
    """

    request_id: str
    route: str = ''
    service: str = ''
    customer: str = ''
    config_version: int = -1
    meter: str = ''
    charge_us: int = 0
    detail: str = ''
    attempts: list[AttemptTrace] = field(default_factory=list)


@dataclass(slots=True)
class AttemptTrace:
    """One attempt: the granted slot and its outcome.

    `cause` says why a connection to the target was given up. `granted_version`
    and `known_version` are those of the targets that the broker and this host
    knew; `is_known_as_left` tells that this host knew by these that the target
    leaves; `said` is what the target says in its answer, `notice` what it has
    told this host and is in force.
    """

    broker: str
    target_id: str
    outcome: SendOutcome
    slot_wait_us: int
    latency_us: int
    proven_age_us: int
    is_reused: bool
    cause: str = ''
    granted_version: int = -1
    known_version: int = -1
    is_known_as_left: bool = False
    answer_bytes: int = 0
    notice: TargetNotice = NO_NOTICE
    said: TargetNotice = NO_NOTICE


def bounded_number(digits: bytes | str, highest: int) -> int:
    """Return the number that ASCII digits stand for, at most `highest`.

    A header may have more digits than `int` accepts.
    """
    if len(digits) > MAX_NUMBER_DIGITS:
        return highest
    return min(highest, int(digits))


def find_header(headers: RawHeaders, name: bytes) -> bytes:
    """Return the first value of a header, or b''."""
    for header, text in headers:
        if header.lower() == name:
            return text
    return b''


def forwarded_headers(
    headers: RawHeaders,
    removed: frozenset[bytes],
) -> RawHeaders:
    """Return the headers without hop-by-hop ones and those in `removed`."""
    named = {
        token.strip().lower()
        for header, text in headers
        if header.lower() == b'connection'
        for token in text.split(b',')
    }
    return [
        (header, text)
        for header, text in headers
        if header.lower() not in _HOP_BY_HOP
        and header.lower() not in named
        and header.lower() not in removed
    ]


def refusal(
    status: int,
    verdict: Verdict,
    reason: Reason,
    retry_after_us: int = 0,
    *,
    must_close: bool = False,
) -> CallerAnswer:
    """Build an answer that the gateway itself gives."""
    body = json.dumps({'verdict': verdict, 'reason': reason}).encode()
    headers = [(b'content-type', b'application/json')]
    if retry_after_us:
        hundredths = math.ceil(retry_after_us / _US_PER_HUNDREDTH_S)
        text = f'{hundredths // 100}.{hundredths % 100:02}'
        headers.append((b'retry-after', text.encode()))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append((b'www-authenticate', b'Token'))
    return CallerAnswer(
        status=status,
        phrase=HTTPStatus(status).phrase.encode(),
        headers=headers,
        body=body,
        verdict=verdict,
        reason=reason,
        must_close=must_close,
    )
