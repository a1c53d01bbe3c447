"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

import xxhash
from opentelemetry.trace import Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)
from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from foxtailreach.config.settings import LimitsSection
from foxtailreach.core.events import (
    AnswerStarted,
    CallerDisconnected,
    CallerRequest,
)
from foxtailreach.core.messages import Header, RequestHead
from foxtailreach.core.verdict import Refusal, Verdict
from foxtailreach.daemon import headers as fields
from foxtailreach.daemon.pipes import BodyPipe, PipeBrokenError
from foxtailreach.rpc.frames import Answer

MAX_INLINE_BODY_BYTES = 65536
_METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'POST',
        'PUT',
        'PATCH',
        'DELETE',
        'OPTIONS',
    )
)
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_BODILESS_STATUSES = frozenset((204, 304))
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_FINGERPRINT_SHIFT_BITS = 1
_PROPAGATOR = TraceContextTextMapPropagator()

EdgeEvent = CallerRequest | CallerDisconnected | AnswerStarted


class EdgeHost(Protocol):
    """The part of the host that an exchange uses."""

    limits: LimitsSection
    tracer: Tracer

    def post(self, event: EdgeEvent) -> None:
        """Deliver an event to the node."""

    def register(self, exchange: Exchange) -> None:
        """Register an exchange under its request id."""

    def unregister(self, exchange: Exchange) -> None:
        """Remove an exchange."""

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal for the metrics."""


class Edge(httputil.HTTPServerConnectionDelegate):
    """Creates an exchange for every request of every connection."""

    def __init__(self, host: EdgeHost, incarnation: int) -> None:
        """Create the delegate; request ids start with the incarnation."""
        self._host = host
        self._prefix = f'{incarnation:x}'
        self._sequence = itertools.count(1)
        self.open_exchanges = 0

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Create the exchange of a request."""
        assert isinstance(request_conn, HTTP1Connection)
        request_id = f'{self._prefix}-{next(self._sequence):x}'
        return Exchange(request_id, request_conn, self._host)


class Exchange(httputil.HTTPMessageDelegate):
    """One caller's request and the answer to it."""

    def __init__(
        self,
        request_id: str,
        connection: HTTP1Connection,
        host: EdgeHost,
    ) -> None:
        """Create an exchange whose request headers are still to come."""
        self.request_id = request_id
        self.handoff_id = ''
        self.on_ready: Callable[[], None] | None = None
        self.on_answer_drained: Callable[[int], None] | None = None
        self.body: BodyPipe | None = None
        self.answer_body = BodyPipe()
        self.is_over = False
        self._connection = connection
        self._connection.set_close_callback(self.on_connection_close)
        self._host = host
        self._inline_chunks: list[bytes] = []
        self._received_bytes = 0
        self._drained = asyncio.Event()
        self._head: RequestHead | None = None
        self._key = ''
        self._method = ''
        self._must_close = False
        self._timeout_us: int | None = None
        self._idempotency_key = ''
        self._span: Span | None = None
        self._writer: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the caller reads fast enough to take more bytes."""
        return not self.answer_body.is_full

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the head; submit the request if its body is streamed."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._method = start_line.method
        rejection = self._check_head(start_line, headers)
        if rejection is not None:
            self._refuse_head(*rejection)
            return
        self._key = fields.caller_key(headers) or ''
        self._idempotency_key = headers.get('Idempotency-Key', '')
        self._timeout_us = _timeout_us(headers)
        self._start_span(start_line, headers)
        self._head = self._request_head(start_line, headers)
        if not 0 <= self._head.body_length <= MAX_INLINE_BODY_BYTES:
            self.body = BodyPipe()
            self.body.on_drained = self._body_drained
            self._submit(self._head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer a part of the request's body.

        Returns an awaitable that ends once the pipe of a streamed body is no
        longer full, or None if there is nothing to wait for.
        """
        if self.is_over:
            return None
        self._received_bytes += len(chunk)
        if self.body is None:
            self._inline_chunks.append(chunk)
            return None
        self.body.feed(chunk)
        if self.body.is_full:
            self._drained.clear()
            return self._drained.wait()  # type: ignore[return-value]
        return None

    def finish(self) -> None:
        """Submit the request with its body, or end its streamed body."""
        if self.is_over or self._head is None:
            return
        if self.body is not None:
            self.body.feed(b'', is_last=True)
            return
        body = b''.join(self._inline_chunks)
        self._submit(
            RequestHead(
                request_id=self._head.request_id,
                method=self._head.method,
                path=self._head.path,
                headers=self._head.headers,
                body=body,
                body_length=len(body),
            ),
        )

    def on_connection_close(self) -> None:
        """Cancel the request, because its caller has disconnected."""
        if self.is_over:
            return
        self._end()
        self._host.post(CallerDisconnected(self.request_id))

    def start(self, answer: Answer) -> None:
        """Send the head of a target's answer."""
        if self.is_over or self._writer is not None:
            return
        self._host.post(AnswerStarted(self.request_id))
        headers = httputil.HTTPHeaders()
        for header in answer.headers:
            headers.add(header.name, header.value)
        headers[fields.VERDICT_HEADER] = Verdict.RAN.value
        if answer.is_whole and self._method != 'HEAD':
            if answer.status not in _BODILESS_STATUSES:
                headers['Content-Length'] = str(len(answer.body))
        line = httputil.ResponseStartLine(
            'HTTP/1.1',
            answer.status,
            answer.phrase,
        )
        if answer.is_whole:
            self._write_whole(line, headers, answer.body)
            return
        self.answer_body.on_drained = self._answer_drained
        self.answer_body.feed(answer.body)
        self._writer = asyncio.ensure_future(self._write(line, headers))

    def chunk(self, body: bytes, *, is_last: bool) -> None:
        """Send a part of the answer's body."""
        self.answer_body.feed(body, is_last=is_last)

    def cut(self) -> None:
        """Close the connection, so that the answer is seen as incomplete."""
        if self._writer is not None:
            self.answer_body.mark_broken()
        elif not self.is_over:
            self._close()

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal."""
        if self.is_over:
            return
        retry_after_s = math.ceil(refusal.retry_after_us / _US_PER_S)
        self._host.count_refusal(refusal)
        self._send_refusal(
            refusal.status,
            refusal.verdict,
            refusal.reason,
            retry_after_s,
        )

    def set_customer(self, customer: str) -> None:
        """Set the customer on the span, once it is known."""
        if self._span is not None:
            self._span.set_attribute('customer', customer)

    def _check_head(
        self,
        line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> tuple[int, str] | None:
        limits = self._host.limits
        length = fields.body_length(headers)
        if length is None:
            return HTTPStatus.BAD_REQUEST, 'ambiguous-framing'
        if line.method not in _METHODS:
            return HTTPStatus.NOT_IMPLEMENTED, 'unknown-method'
        if fields.size_bytes(headers) > limits.max_header_bytes:
            too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return too_large, 'headers-too-long'
        if fields.caller_key(headers) is None:
            return HTTPStatus.BAD_REQUEST, 'clashing-keys'
        if length > limits.max_body_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body-too-long'
        if length and line.method in _BODILESS_METHODS:
            return HTTPStatus.BAD_REQUEST, 'unexpected-body'
        if not line.path.startswith('/'):
            return HTTPStatus.BAD_REQUEST, 'bad-path'
        return None

    def _request_head(
        self,
        line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> RequestHead:
        return RequestHead(
            request_id=self.request_id,
            method=line.method,
            path=line.path,
            headers=self._forwarded_headers(headers),
            body_length=fields.body_length(headers) or 0,
        )

    def _forwarded_headers(
        self,
        headers: httputil.HTTPHeaders,
    ) -> tuple[Header, ...]:
        kept = [
            header
            for header in fields.request_headers(headers)
            if header.name.lower() not in {'traceparent', 'tracestate'}
        ]
        carrier: dict[str, str] = {}
        if self._span is not None:
            context = set_span_in_context(self._span)
            _PROPAGATOR.inject(carrier, context)
        kept.extend(Header(name, text) for name, text in carrier.items())
        return tuple(kept)

    def _start_span(
        self,
        line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        carrier = {name.lower(): text for name, text in headers.get_all()}
        context = _PROPAGATOR.extract(carrier)
        self._span = self._host.tracer.start_span(
            f'entry {line.method}',
            context=context,
            attributes={'request.id': self.request_id},
        )

    def _submit(self, head: RequestHead) -> None:
        self._host.register(self)
        self._host.post(
            CallerRequest(
                head=head,
                key=self._key,
                fingerprint=_fingerprint(head, self._idempotency_key),
                timeout_us=self._timeout_us,
            ),
        )

    def _refuse_head(self, status: int, reason: str) -> None:
        """Refuse a request for its head and close the connection.

        Nothing more is read from the connection.
        """
        self._must_close = True
        self._send_refusal(status, Verdict.NOT_RUN, reason, 0)

    def _send_refusal(
        self,
        status: int,
        verdict: Verdict,
        reason: str,
        retry_after_s: int,
    ) -> None:
        text = json.dumps(
            {
                'verdict': verdict.value,
                'reason': reason,
                'retry_after': retry_after_s,
            }
        )
        body = text.encode()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                fields.VERDICT_HEADER: verdict.value,
            }
        )
        if retry_after_s:
            headers['Retry-After'] = str(retry_after_s)
        if status == HTTPStatus.UNAUTHORIZED:
            headers['WWW-Authenticate'] = 'Bearer'
        phrase = HTTPStatus(status).phrase
        line = httputil.ResponseStartLine('HTTP/1.1', status, phrase)
        self._write_whole(line, headers, body)

    def _write_whole(
        self,
        line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        chunk = None if self._method == 'HEAD' else body or None
        self._connection.write_headers(line, headers, chunk)
        self._connection.finish()
        self._end()
        if self._must_close:
            self._close()

    async def _write(
        self,
        line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        try:
            await self._write_all(line, headers)
        except (StreamClosedError, httputil.HTTPOutputError, PipeBrokenError):
            self._cancel()
        finally:
            self._end()

    async def _write_all(
        self,
        line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        chunk = self.answer_body.take(MAX_INLINE_BODY_BYTES)
        await self._connection.write_headers(line, headers, chunk or None)
        while not self.answer_body.is_finished:
            chunk = await self.answer_body.read()
            if chunk:
                await self._connection.write(chunk)
        self._connection.finish()

    def _cancel(self) -> None:
        self._close()
        if not self.is_over:
            self._host.post(CallerDisconnected(self.request_id))

    def _close(self) -> None:
        self._connection.close()

    def _end(self) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._host.unregister(self)
        if self.body is not None:
            self.body.mark_broken()
        self._drained.set()
        if self._span is not None:
            self._span.end()

    def _body_drained(self, size_bytes: int) -> None:
        if self.body is not None and not self.body.is_full:
            self._drained.set()

    def _answer_drained(self, size_bytes: int) -> None:
        if self.on_answer_drained is not None:
            self.on_answer_drained(size_bytes)
        if self.on_ready is not None and self.is_ready:
            self.on_ready()


def _timeout_us(headers: httputil.HTTPHeaders) -> int | None:
    timeout_ms = fields.parse_number(headers.get(fields.TIMEOUT_HEADER, ''))
    return None if timeout_ms is None else timeout_ms * _US_PER_MS


def _fingerprint(head: RequestHead, idempotency_key: str) -> int:
    """Hash the content of a request as a non-negative 63-bit value.

    Requests with the same fingerprint are taken for repeats of the request
    that crashed a target. The method, path, idempotency key and inline body
    are part of it.
    """
    text = f'{head.method}\0{head.path}\0{idempotency_key}\0'
    digest = xxhash.xxh64(text.encode())
    digest.update(head.body)
    return int(digest.intdigest()) >> _FINGERPRINT_SHIFT_BITS
