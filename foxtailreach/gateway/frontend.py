"""Connections from callers: reads pipelined requests, answers in order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus

import h11
from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.http_types import (
    CallerAnswer,
    CallerRequest,
    HeaderNames,
    find_header,
    forwarded_headers,
    refusal,
)

READ_BYTES = 65_536
# Bound on the requests of one connection that wait for their answers.
MAX_PIPELINED_REQUESTS = 16
# Time limit for requests without a deadline header.
DEFAULT_TIME_LEFT_US = 30 * SECOND_US
# Read buffer of a connection, which bounds the memory for a body.
MAX_BUFFER_BYTES = 80 * 1024 * 1024

Handle = Callable[[CallerRequest], Awaitable[CallerAnswer]]
GetLimits = Callable[[], CallerLimits]


class _RequestError(Exception):
    """A request that cannot be accepted; holds the answer to send."""

    def __init__(self, answer: CallerAnswer) -> None:
        super().__init__(answer.status)
        self.answer = answer


class Frontend(TCPServer):
    """Accepts connections from callers."""

    def __init__(
        self,
        header_names: HeaderNames,
        limits: GetLimits,
        handle: Handle,
    ) -> None:
        """Serve each request with `handle`."""
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self._header_names = header_names
        self._limits = limits
        self._handle = handle

    @property
    def is_idle(self) -> bool:
        """Whether no connection has an unanswered request."""
        return not any(connection.unanswered for connection in self.connections)

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Serve one connection until it closes."""
        stream.set_nodelay(True)
        connection = CallerConnection(
            stream,
            self._header_names,
            self._limits,
            self._handle,
            self,
        )
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection:
    """A connection from a caller."""

    __slots__ = (
        '_buffer',
        '_frontend',
        '_handle',
        '_header_names',
        '_is_closing',
        '_is_reading_request',
        '_limits',
        '_running',
        '_stream',
        'unanswered',
    )

    def __init__(
        self,
        stream: IOStream,
        header_names: HeaderNames,
        limits: GetLimits,
        handle: Handle,
        frontend: Frontend,
    ) -> None:
        """Take over an accepted stream."""
        self.unanswered = 0
        self._stream = stream
        self._header_names = header_names
        self._limits = limits
        self._handle = handle
        self._frontend = frontend
        self._buffer = b''
        self._running: set[asyncio.Task[CallerAnswer]] = set()
        self._is_closing = False
        self._is_reading_request = False

    async def serve(self) -> None:
        """Serve until the connection closes, then cancel what is in flight."""
        answers: asyncio.Queue[tuple[h11.Connection, _PendingAnswer] | None]
        answers = asyncio.Queue(MAX_PIPELINED_REQUESTS)
        writer = asyncio.ensure_future(self._write_answers(answers))
        try:
            await self._read_requests(answers)
            await answers.put(None)
            await writer
        except StreamClosedError:
            self._stream.close()
        finally:
            writer.cancel()
            self._cancel_running()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight."""
        if not self.unanswered and not self._is_reading_request:
            self._stream.close()

    def _cancel_running(self) -> None:
        """Cancel the requests in flight and close the connection."""
        for task in self._running:
            task.cancel()
        self._stream.close()

    async def _read_requests(
        self,
        answers: asyncio.Queue[tuple[h11.Connection, _PendingAnswer] | None],
    ) -> None:
        while not self._is_closing:
            parser = h11.Connection(
                h11.SERVER,
                max_incomplete_event_size=self._limits().max_header_bytes,
            )
            try:
                request = await self._read_request(parser)
            except _RequestError as rejection:
                self._is_closing = True
                await answers.put((parser, _pending_answer(rejection.answer)))
                self.unanswered += 1
                return
            if request is None:
                return
            self.unanswered += 1
            task = asyncio.ensure_future(self._run(request))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await answers.put((parser, _PendingAnswer(request, task)))
            if _wants_close(request):
                # Discard later bytes; reading still detects a disconnect.
                await self._watch_until_answered()

    async def _watch_until_answered(self) -> None:
        """Read and discard bytes until every request is answered.

        Raises StreamClosedError if the caller disconnects before.
        """
        while self.unanswered:
            reading = asyncio.ensure_future(
                _as_coroutine(
                    self._stream.read_bytes(READ_BYTES, partial=True),
                ),
            )
            waiting = asyncio.ensure_future(self._wait_until_answered())
            done, _ = await asyncio.wait(
                (reading, waiting),
                return_when=asyncio.FIRST_COMPLETED,
            )
            waiting.cancel()
            if reading not in done:
                reading.cancel()
                self._is_closing = True
                return
            reading.result()
        self._is_closing = True

    async def _wait_until_answered(self) -> None:
        while self._running:
            await asyncio.wait(self._running)
        while self.unanswered:
            await asyncio.sleep(MILLISECOND_US / SECOND_US)

    async def _run(self, request: CallerRequest) -> CallerAnswer:
        return await self._handle(request)

    async def _read_request(
        self,
        parser: h11.Connection,
    ) -> CallerRequest | None:
        """Return the next request; None if the caller closed or was idle.

        Raises _RequestError on a malformed or oversized request, or one
        whose head does not arrive in time.
        """
        limits = self._limits()
        self._is_reading_request = False
        if not self._buffer and not await self._wait_for_bytes(limits):
            return None
        self._is_reading_request = True
        received_us = boot_time_us()
        parser.receive_data(self._buffer)
        self._buffer = b''
        try:
            async with asyncio.timeout(limits.header_timeout_us / SECOND_US):
                head = await self._read_head(parser)
        except TimeoutError as error:
            raise _RequestError(
                _malformed_answer(HTTPStatus.REQUEST_TIMEOUT)
            ) from error
        if head is None:
            return None
        body = await self._read_body(parser, limits)
        trailing, _ = parser.trailing_data
        self._buffer = bytes(trailing)
        return self._request(head, body, received_us)

    async def _wait_for_bytes(self, limits: CallerLimits) -> bool:
        """Wait for the first bytes of a request; false on an idle timeout."""
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout_us / SECOND_US):
                    self._buffer = await self._stream.read_bytes(
                        READ_BYTES,
                        partial=True,
                    )
            except TimeoutError:
                if self.unanswered:
                    continue
                return False
            return True

    async def _read_head(self, parser: h11.Connection) -> h11.Request | None:
        while True:
            event = self._next_event(parser)
            match event:
                case h11.Request():
                    self._check_head(event)
                    return event
                case h11.NEED_DATA:
                    parser.receive_data(await self._read_chunk())
                case _:
                    return None

    async def _read_body(
        self,
        parser: h11.Connection,
        limits: CallerLimits,
    ) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            event = self._next_event(parser)
            match event:
                case h11.Data(data=chunk):
                    size_bytes += len(chunk)
                    chunks.append(bytes(chunk))
                    _check_size(size_bytes, limits.max_body_bytes)
                case h11.EndOfMessage():
                    return b''.join(chunks)
                case h11.NEED_DATA:
                    await self._send_continue(parser)
                    parser.receive_data(await self._read_chunk())
                case _:
                    raise _RequestError(
                        _malformed_answer(HTTPStatus.BAD_REQUEST)
                    )

    async def _send_continue(self, parser: h11.Connection) -> None:
        if parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._stream.write(parser.send(continue_response) or b'')

    async def _read_chunk(self) -> bytes:
        chunk: bytes = await self._stream.read_bytes(READ_BYTES, partial=True)
        return chunk

    def _next_event(self, parser: h11.Connection) -> object:
        try:
            return parser.next_event()
        except h11.RemoteProtocolError as error:
            status = HTTPStatus(error.error_status_hint)
            raise _RequestError(_malformed_answer(status)) from error

    def _check_head(self, head: h11.Request) -> None:
        """Reject ambiguous framing, and bodies and headers over the limits.

        Two parsers could disagree on the end of a request that has both
        Content-Length and Transfer-Encoding.
        """
        headers = list(head.headers)
        length = find_header(headers, b'content-length')
        if length and find_header(headers, b'transfer-encoding'):
            raise _RequestError(_malformed_answer(HTTPStatus.BAD_REQUEST))
        limits = self._limits()
        _check_size(int(length or 0), limits.max_body_bytes)
        size_bytes = sum(len(name) + len(text) + 4 for name, text in headers)
        if size_bytes > limits.max_header_bytes:
            too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise _RequestError(_malformed_answer(too_large))

    def _request(
        self,
        head: h11.Request,
        body: bytes,
        received_us: int,
    ) -> CallerRequest:
        headers = list(head.headers.raw_items())
        header_names = self._header_names
        request_id = find_header(headers, header_names.request_id)
        left_ms = find_header(headers, header_names.time_left_ms)
        time_left_us = DEFAULT_TIME_LEFT_US
        if left_ms.isdigit():
            time_left_us = int(left_ms) * MILLISECOND_US
        return CallerRequest(
            method=bytes(head.method),
            path=bytes(head.target),
            headers=headers,
            body=body,
            received_us=received_us,
            request_id=request_id.decode('latin-1'),
            time_left_us=time_left_us,
            key=_parse_key(
                find_header(headers, b'authorization'), header_names.key_scheme
            ),
        )

    async def _write_answers(
        self,
        answers: asyncio.Queue[tuple[h11.Connection, _PendingAnswer] | None],
    ) -> None:
        while True:
            entry = await answers.get()
            if entry is None:
                return
            parser, pending = entry
            answer = await pending.answer()
            must_close = answer.must_close or self._frontend.is_stopping
            if must_close:
                self._is_closing = True
            try:
                payload = self._encode(parser, pending, answer, must_close)
            except h11.LocalProtocolError as error:
                logger.error('answer cannot be sent: {}', error)
                self._stream.close()
                return
            with suppress(StreamClosedError):
                await self._stream.write(payload)
            self.unanswered -= 1
            if must_close or parser.our_state is h11.MUST_CLOSE:
                self._stream.close()
                return

    def _encode(
        self,
        parser: h11.Connection,
        pending: _PendingAnswer,
        answer: CallerAnswer,
        must_close: bool,
    ) -> bytes:
        headers = forwarded_headers(answer.headers, frozenset())
        if pending.request is not None and pending.request.request_id:
            name = self._header_names.request_id
            if not find_header(headers, name):
                text = pending.request.request_id.encode('latin-1')
                headers.append((name, text))
        length = str(len(answer.body)).encode()
        headers.append((b'content-length', length))
        if must_close:
            headers.append((b'connection', b'close'))
        response = h11.Response(
            status_code=answer.status,
            headers=headers,
            reason=answer.phrase,
        )
        payload = parser.send(response) or b''
        if answer.body:
            payload += parser.send(h11.Data(data=answer.body)) or b''
        return payload + (parser.send(h11.EndOfMessage()) or b'')


class _PendingAnswer:
    """An answer that a task will produce, or one that exists already."""

    __slots__ = ('_answer', '_task', 'request')

    def __init__(
        self,
        request: CallerRequest | None,
        task: asyncio.Task[CallerAnswer] | None,
        answer: CallerAnswer | None = None,
    ) -> None:
        self.request = request
        self._task = task
        self._answer = answer

    async def answer(self) -> CallerAnswer:
        """Wait for the answer and return it."""
        if self._answer is not None:
            return self._answer
        assert self._task is not None
        return await self._task


def _check_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise _RequestError(
            _malformed_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        )


def _pending_answer(answer: CallerAnswer) -> _PendingAnswer:
    return _PendingAnswer(None, None, answer)


def _malformed_answer(status: HTTPStatus) -> CallerAnswer:
    return refusal(
        status,
        Verdict.NOT_RUN,
        Reason.MALFORMED,
        must_close=True,
    )


def _wants_close(request: CallerRequest) -> bool:
    return b'close' in find_header(request.headers, b'connection').lower()


def _parse_key(credentials: bytes, scheme: bytes) -> str:
    name, _, key = credentials.partition(b' ')
    if name.lower() != scheme:
        return ''
    return key.strip().decode('latin-1')


async def _as_coroutine(awaitable: Awaitable[bytes]) -> bytes:
    return await awaitable
