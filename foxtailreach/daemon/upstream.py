"""Runs attempts: sends requests to targets with the curl client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders, parse_response_start_line
from tornado.ioloop import IOLoop

from foxtailreach.core.effects import StartAttempt
from foxtailreach.core.events import AttemptEnded, AttemptHead, AttemptOutcome
from foxtailreach.daemon.clock import monotonic_us
from foxtailreach.daemon.headers import (
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    answer_headers,
    parse_number,
)
from foxtailreach.daemon.pipes import BodyPipe
from foxtailreach.daemon.sinks import AnswerSink
from foxtailreach.rpc.frames import Answer

CONNECT_TIMEOUT_S = 0.4
MAX_BUFFERED_ANSWER_BYTES = 65536
MAX_TRANSFERS = 256
UNKNOWN_BYTES = -1
MAX_IDLE_CONNECTIONS = 512
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))

PostEvent = Callable[[AttemptHead | AttemptEnded], None]

_CONNECT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
    )
)
_CONNECTION_LOST_ERRORS = frozenset(
    (
        pycurl.E_SEND_ERROR,
        pycurl.E_RECV_ERROR,
        pycurl.E_GOT_NOTHING,
    )
)


def _discard(chunk: bytes) -> None:
    """Ignore a chunk; curl's write callback handles the body instead."""


class AbortableCurlClient(CurlAsyncHTTPClient):
    """Tornado's curl client with cancellation.

    It also stores the number of sent bytes as `sent_bytes` of the request.
    """

    def abort(self, curl: Any) -> None:
        """Abort a running transfer and close its connection."""
        if getattr(curl, 'info', None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, 'cancelled')

    def _finish(
        self,
        curl: Any,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        # The caller of `fetch` holds the request that tornado's proxy wraps.
        proxy = curl.info['request']
        request = getattr(proxy, 'request', proxy)
        request.sent_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
        super()._finish(curl, curl_error, curl_message)


class CurlAttempt:
    """One attempt as a curl transfer; its callbacks run inside curl."""

    __slots__ = (
        '_body',
        '_buffer',
        '_client',
        '_headers',
        '_loop',
        '_post',
        '_sink',
        '_start',
        '_start_line',
        'curl',
        'head_seen',
        'is_cancelled',
        'is_paused',
        'is_relayed',
        'is_streaming',
    )

    def __init__(
        self,
        start: StartAttempt,
        body: BodyPipe | None,
        sink: AnswerSink,
        client: AbortableCurlClient,
        post: PostEvent,
    ) -> None:
        """Prepare a transfer; see `run`."""
        self._start = start
        self._body = body
        self._sink = sink
        self._client = client
        self._post = post
        self._loop = IOLoop.current()
        self._headers = HTTPHeaders()
        self._start_line = ''
        self._buffer: list[bytes] = []
        self.curl: Any = None
        self.head_seen = False
        self.is_cancelled = False
        self.is_relayed = False
        self.is_paused = False
        self.is_streaming = False

    async def run(self) -> tuple[AttemptOutcome, bool]:
        """Send the request; return its outcome and whether it was sent.

        The second value is false only if no byte of it was sent, so that the
        target cannot have run it.
        """
        request = self._request()
        outcome = AttemptOutcome.COMPLETE
        was_sent = True
        try:
            await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            # With an unknown number of bytes the target may have run it.
            was_sent = getattr(request, 'sent_bytes', UNKNOWN_BYTES) != 0
            outcome = self._outcome(error.errno, was_sent=was_sent)
        self._deliver_end(outcome)
        return outcome, was_sent

    def relay(self) -> None:
        """Relay the answer to the sink."""
        self.is_relayed = True

    def cancel(self) -> None:
        """Abort the transfer, later than any running curl callback."""
        self.is_cancelled = True
        self._loop.add_callback(self._abort)

    def resume(self) -> None:
        """Continue a transfer that was paused in either direction."""
        if self.curl is not None and self.is_paused:
            self.is_paused = False
            self._loop.add_callback(self._unpause)

    def _abort(self) -> None:
        if self.curl is not None:
            self._client.abort(self.curl)

    def _unpause(self) -> None:
        if self.curl is not None and not self.is_cancelled:
            self.curl.pause(pycurl.PAUSE_CONT)

    def _request(self) -> HTTPRequest:
        start = self._start
        head = start.head
        headers = HTTPHeaders()
        for header in head.headers:
            headers.add(header.name, header.value)
        left_us = max(_US_PER_MS, start.deadline_us - monotonic_us())
        if start.customer:
            headers[CUSTOMER_HEADER] = start.customer
        headers[DEADLINE_HEADER] = str(left_us // _US_PER_MS)
        body = head.body if head.body or self._needs_body() else None
        return HTTPRequest(
            f'http://{start.address}:{start.port}{head.path}',
            method=head.method,
            headers=headers,
            body=body,
            connect_timeout=min(CONNECT_TIMEOUT_S, left_us / _US_PER_S),
            request_timeout=left_us / _US_PER_S,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            streaming_callback=_discard,
            prepare_curl_callback=self._prepare,
            user_agent='',
        )

    def _needs_body(self) -> bool:
        return self._start.head.method in {'POST', 'PUT', 'PATCH'}

    def _prepare(self, curl: Any) -> None:
        self.curl = curl
        curl.setopt(pycurl.HEADERFUNCTION, self._header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.FRESH_CONNECT, int(self._start.must_connect))
        curl.setopt(pycurl.FORBID_REUSE, int(self._start.must_connect))
        curl.setopt(pycurl.TCP_NODELAY, 1)
        if self._body is not None:
            self._prepare_upload(curl, self._body)
        else:
            curl.setopt(pycurl.INFILESIZE_LARGE, len(self._start.head.body))

    def _prepare_upload(self, curl: Any, body: BodyPipe) -> None:
        body.on_data = self.resume
        curl.setopt(pycurl.UPLOAD, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, self._start.head.method)
        curl.setopt(pycurl.READFUNCTION, self._read)
        curl.unsetopt(pycurl.SEEKFUNCTION)
        curl.setopt(pycurl.INFILESIZE_LARGE, self._start.head.body_length)

    def _read(self, limit_bytes: int) -> Any:
        body = self._body
        if body is None or self.is_cancelled or body.is_broken:
            return pycurl.READFUNC_ABORT
        chunk = body.take(limit_bytes)
        if chunk or body.is_finished:
            return chunk
        self.is_paused = True
        return pycurl.READFUNC_PAUSE

    def _header_line(self, line: bytes) -> None:
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith('HTTP/'):
            self._start_line = text
            self._headers = HTTPHeaders()
        elif text:
            self._headers.parse_line(text)
        elif self._start_line:
            self._head_complete()

    def _head_complete(self) -> None:
        status = parse_response_start_line(self._start_line).code
        if status < _FIRST_FINAL_STATUS or self.head_seen:
            return
        self.head_seen = True
        self._sink.on_ready = self.resume
        self._post(AttemptHead(self._start.attempt_id, status))
        if self.is_relayed and not self._fits_buffer(status):
            self.is_streaming = True
            self._sink.start(self._answer(b'', is_whole=False))

    def _fits_buffer(self, status: int) -> bool:
        if self._start.head.method == 'HEAD' or status in _BODILESS_STATUSES:
            return True
        length = parse_number(self._headers.get('Content-Length', ''))
        return length is not None and length <= MAX_BUFFERED_ANSWER_BYTES

    def _write(self, chunk: bytes) -> int | None:
        if self.is_cancelled or not self.is_relayed:
            return None
        if not self.is_streaming:
            self._buffer.append(chunk)
            return None
        if not self._sink.is_ready:
            self.is_paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self._sink.chunk(chunk, is_last=False)
        return None

    def _deliver_end(self, outcome: AttemptOutcome) -> None:
        self.curl = None
        self._sink.on_ready = None
        if not self.is_relayed:
            return
        if outcome is not AttemptOutcome.COMPLETE:
            if self.is_streaming:
                self._sink.cut()
            return
        if self.is_streaming:
            self._sink.chunk(b'', is_last=True)
            return
        self._sink.start(self._answer(b''.join(self._buffer), is_whole=True))

    def _answer(self, body: bytes, *, is_whole: bool) -> Answer:
        line = parse_response_start_line(self._start_line)
        return Answer(
            request_id=self._start.head.request_id,
            status=line.code,
            phrase=line.reason,
            headers=answer_headers(self._headers),
            body=body,
            is_whole=is_whole,
        )

    def _outcome(self, errno: int, *, was_sent: bool) -> AttemptOutcome:
        if self.is_cancelled:
            return AttemptOutcome.CANCELLED
        if errno in _CONNECT_ERRORS or not was_sent:
            return AttemptOutcome.CONNECT_FAILED
        if self.head_seen:
            return AttemptOutcome.PARTIAL
        if errno in _CONNECTION_LOST_ERRORS:
            return AttemptOutcome.CONNECTION_LOST
        if errno == pycurl.E_OPERATION_TIMEDOUT:
            return AttemptOutcome.TIMEOUT
        return AttemptOutcome.PARTIAL


class Upstream:
    """Runs and cancels the attempts of this host."""

    __slots__ = ('_attempts', '_client', '_post', '_tasks')

    def __init__(self, post: PostEvent) -> None:
        """Create a client; `post` delivers events to the node."""
        self._post = post
        self._client = AbortableCurlClient(
            force_instance=True,
            max_clients=MAX_TRANSFERS,
        )
        self._client._multi.setopt(  # noqa: SLF001
            pycurl.M_MAXCONNECTS,
            MAX_IDLE_CONNECTIONS,
        )
        self._attempts: dict[int, CurlAttempt] = {}

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def run(
        self,
        start: StartAttempt,
        body: BodyPipe | None,
        sink: AnswerSink,
    ) -> None:
        """Run one attempt to its end."""
        attempt = CurlAttempt(start, body, sink, self._client, self._post)
        self._attempts[start.attempt_id] = attempt
        outcome = AttemptOutcome.PARTIAL
        was_sent = True
        try:
            outcome, was_sent = await attempt.run()
        finally:
            self._attempts.pop(start.attempt_id, None)
            self._post(AttemptEnded(start.attempt_id, outcome, was_sent))

    def relay(self, attempt_id: int) -> None:
        """Relay an attempt's answer."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.relay()

    def cancel(self, attempt_id: int) -> None:
        """Abort an attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.cancel()
