"""Reads the requests of one connection, within the limits for callers.

Load pattern: callers send requests ahead of the answers to earlier ones. Such a
request is read while the host has memory to spare, and otherwise at its turn.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus

import h11
from tornado.iostream import IOStream

from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.backlog import Backlog
from foxtailreach.gateway.body_memory import BodyBudget, HeldBody
from foxtailreach.gateway.body_reader import BodyReader
from foxtailreach.gateway.host_memory import request_bytes
from foxtailreach.gateway.http_types import (
    CallerRequest,
    HeaderNames,
    RawHeaders,
    Rejection,
    bounded_number,
    find_header,
)
from foxtailreach.gateway.read_ahead import ReadAhead, unlimited_read_ahead
from foxtailreach.gateway.read_buffer import ReadBuffer
from foxtailreach.gateway.request_error import (
    RequestError,
    check_size,
    malformed_answer,
    overloaded,
    timed_out,
)
from foxtailreach.gateway.work_turns import FREE_HEAD_LINES, WorkTurns

# Time limit for requests without a deadline header.
DEFAULT_TIME_LEFT_US = 30 * SECOND_US
MAX_TIME_LEFT_MS = 24 * 3600 * 1000
# A request line starts with no other byte; TLS does, for example.
FIRST_PRINTABLE = 0x21
DOT_SEGMENTS = frozenset((b'.', b'..'))

GetLimits = Callable[[], CallerLimits]
# Checks a request by its head, before its body is read.
CheckHead = Callable[[CallerRequest], Awaitable[Rejection | None]]


async def accept_every_head(request: CallerRequest) -> Rejection | None:
    """Reject no request by its head."""
    return request.rejection


@dataclass(slots=True, frozen=True)
class ReaderOptions:
    """What all connections of a host share.

    The memory of `read_ahead` is that for `bodies` and `answers`, too.
    """

    header_names: HeaderNames
    limits: GetLimits
    bodies: BodyBudget
    answers: AnswerMemory
    check_head: CheckHead = accept_every_head
    read_ahead: ReadAhead = field(default_factory=unlimited_read_ahead)
    turns: WorkTurns = field(default_factory=WorkTurns)


class RequestReader:
    """Reads requests from a stream, one after the other.

    `is_reading` tells that a request has begun to arrive.
    """

    __slots__ = ('_backlog', '_buffer', '_options', '_stream', 'is_reading')

    def __init__(
        self, stream: IOStream, options: ReaderOptions, backlog: Backlog
    ) -> None:
        """Read from a stream that nobody else reads from.

        `backlog` counts its requests that are not answered yet.
        """
        self.is_reading = False
        self._stream = stream
        self._buffer = ReadBuffer(stream, options.read_ahead.memory)
        self._options = options
        self._backlog = backlog

    def close(self) -> None:
        """Return the memory of the connection."""
        self._buffer.close()

    async def wait_for_bytes(self, timeout_us: int) -> bool:
        """Wait for the first bytes of a request; false if none arrived.

        Can be called again then. Raises StreamClosedError if the caller closed.
        """
        self.is_reading = False
        return await self._buffer.wait(timeout_us / SECOND_US)

    async def discard(self) -> None:
        """Discard all bytes until the caller closes, which is an error.

        Raises StreamClosedError then.
        """
        await self._buffer.discard()

    async def read(self, parser: h11.Connection) -> CallerRequest:
        """Return the request that has begun.

        Its memory is held until `request.resources` are closed, and that for
        its body until `request.release_body` is called. The body of a rejected
        request is read, but not kept. Raises RequestError on a malformed or
        oversized request, or one that does not arrive in time, and
        StreamClosedError.
        """
        self.is_reading = True
        received_us = boot_time_us()
        with ExitStack() as stack:
            head_bytes = await self._read_head()
            await self._wait_for_turn(head_bytes)
            await self._hold_request(head_bytes, stack)
            head = _parse_head(parser, self._buffer.consume(head_bytes))
            _check_head(head, self._limits)
            request = self._request(head, received_us)
            stack.callback(request.held_answer.close)
            await self._read_body(parser, head, request)
            request.resources = stack.pop_all()
        return request

    @property
    def _limits(self) -> CallerLimits:
        return self._options.limits()

    async def _read_head(self) -> int:
        """Read until a head is in the buffer; return its size."""
        limits = self._limits
        try:
            async with asyncio.timeout(limits.header_timeout_us / SECOND_US):
                return await self._receive_head(limits)
        except TimeoutError as error:
            raise timed_out() from error

    async def _receive_head(self, limits: CallerLimits) -> int:
        while True:
            head_bytes = self._buffer.head_bytes()
            self._check_start(head_bytes, limits)
            if head_bytes:
                return head_bytes
            await self._buffer.read()

    async def _wait_for_turn(self, head_bytes: int) -> None:
        """Let others go on before a head with many lines is handled.

        Raises RequestError if too many such heads have arrived.
        """
        lines = self._buffer.received.count(b'\n', 0, head_bytes)
        if lines <= FREE_HEAD_LINES:
            return
        try:
            async with asyncio.timeout(
                self._limits.header_timeout_us / SECOND_US
            ):
                await self._options.turns.wait(lines)
        except TimeoutError as error:
            raise overloaded() from error

    def _check_start(self, head_bytes: int, limits: CallerLimits) -> None:
        """Raise RequestError on a head that cannot be accepted.

        The limit on headers does not count the request line, which is bounded
        by the same size.
        """
        size_bytes = head_bytes or len(self._buffer.received)
        if size_bytes > 2 * limits.max_header_bytes:
            too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise RequestError(malformed_answer(too_large))
        if self._buffer.received[0] < FIRST_PRINTABLE:
            raise RequestError(malformed_answer(HTTPStatus.BAD_REQUEST))

    async def _hold_request(self, head_bytes: int, stack: ExitStack) -> None:
        """Hold the memory for a request, which waits if it was sent ahead.

        Raises RequestError if there is not enough. `stack` returns it.
        """
        memory = self._options.read_ahead.memory
        size_bytes = request_bytes(self._buffer.received[:head_bytes])
        await self._options.read_ahead.enter(size_bytes, self._backlog, stack)
        if not memory.admit_request(size_bytes):
            raise overloaded()
        stack.callback(memory.release, size_bytes)

    async def _read_body(
        self,
        parser: h11.Connection,
        head: h11.Request,
        request: CallerRequest,
    ) -> None:
        headers = list(head.headers)
        length_bytes: int | None = int(
            find_header(headers, b'content-length') or 0
        )
        if find_header(headers, b'transfer-encoding'):
            length_bytes = None
        if length_bytes == 0:
            return
        request.rejection = await self._options.check_head(request)

        async def send_continue() -> None:
            await self._send_continue(parser)

        await BodyReader(
            self._buffer,
            request,
            length_bytes,
            self._limits,
            send_continue,
            self._options.turns,
        ).read()

    async def _send_continue(self, parser: h11.Connection) -> None:
        """Ask for the body if the caller waits, behind all earlier answers.

        If the body arrives before, it is not asked for.
        """
        if not parser.they_are_waiting_for_100_continue:
            return
        answered = asyncio.ensure_future(self._backlog.wait_until_empty())
        try:
            await self._buffer.wait_unless(answered)
        finally:
            answered.cancel()
        if self._backlog.count:
            return
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        await self._stream.write(parser.send(continue_response) or b'')

    def _request(self, head: h11.Request, received_us: int) -> CallerRequest:
        """Build a request whose body has not been read."""
        headers = list(head.headers.raw_items())
        header_names = self._options.header_names
        left_ms = find_header(headers, header_names.time_left_ms)
        time_left_us = DEFAULT_TIME_LEFT_US
        if left_ms.isdigit():
            time_left_us = bounded_number(left_ms, MAX_TIME_LEFT_MS)
            time_left_us *= MILLISECOND_US
        return CallerRequest(
            method=bytes(head.method),
            path=bytes(head.target),
            headers=headers,
            body=b'',
            received_us=received_us,
            request_id=find_header(headers, header_names.request_id).decode(
                'latin-1'
            ),
            time_left_us=time_left_us,
            key=_parse_key(
                find_header(headers, b'authorization'), header_names.key_scheme
            ),
            held_answer=self._options.answers.open(),
            held_body=HeldBody(self._options.bodies),
        )


def _parse_head(parser: h11.Connection, head: bytes) -> h11.Request:
    parser.receive_data(head)
    try:
        event = parser.next_event()
    except h11.RemoteProtocolError as error:
        status = HTTPStatus(error.error_status_hint)
        raise RequestError(malformed_answer(status)) from error
    assert isinstance(event, h11.Request)
    return event


def _check_head(head: h11.Request, limits: CallerLimits) -> None:
    """Reject ambiguous heads, and bodies and headers over the limits.

    Two parsers could disagree on the end of a request that has both
    Content-Length and Transfer-Encoding, on which of two keys counts, and on
    the route of a path with dot segments.
    """
    headers = list(head.headers)
    length = find_header(headers, b'content-length')
    is_ambiguous = (
        length and find_header(headers, b'transfer-encoding')
    ) or _count_headers(headers, b'authorization') > 1
    if is_ambiguous or _has_dot_segments(bytes(head.target)):
        raise RequestError(malformed_answer(HTTPStatus.BAD_REQUEST))
    check_size(int(length or 0), limits.max_body_bytes)
    size_bytes = sum(len(name) + len(text) + 4 for name, text in headers)
    if size_bytes > limits.max_header_bytes:
        too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        raise RequestError(malformed_answer(too_large))


def _count_headers(headers: RawHeaders, name: bytes) -> int:
    return sum(header.lower() == name for header, _ in headers)


def _has_dot_segments(target: bytes) -> bool:
    path = target.partition(b'?')[0].lower().replace(b'%2e', b'.')
    return not DOT_SEGMENTS.isdisjoint(path.split(b'/'))


def _parse_key(credentials: bytes, scheme: bytes) -> str:
    name, _, key = credentials.partition(b' ')
    if name.lower() != scheme:
        return ''
    return key.strip().decode('latin-1')
