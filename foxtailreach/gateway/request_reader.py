"""Reads the requests of one connection, within the limits for callers.

Load pattern: many callers send large bodies at once, some stop halfway. The
memory for bodies is bounded over all connections; a body that does not fit is
rejected before it is read, and one that stalls does not outlive its request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import h11
from tornado.iostream import IOStream

from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BodyBudget, HeldBody
from foxtailreach.gateway.chunk_reader import ChunkReader
from foxtailreach.gateway.http_types import (
    CallerAnswer,
    CallerRequest,
    HeaderNames,
    RawHeaders,
    Rejection,
    bounded_number,
    find_header,
    refusal,
)

# Time limit for requests without a deadline header.
DEFAULT_TIME_LEFT_US = 30 * SECOND_US
MAX_TIME_LEFT_MS = 24 * 3600 * 1000
BODY_RETRY_AFTER_US = SECOND_US
# A caller must send so many bytes of a body within the idle timeout.
BODY_PIECE_BYTES = 65_536
DOT_SEGMENTS = frozenset((b'.', b'..'))

GetLimits = Callable[[], CallerLimits]
# Checks a request by its head, before its body is read.
CheckHead = Callable[[CallerRequest], Awaitable[Rejection | None]]


async def accept_every_head(request: CallerRequest) -> Rejection | None:
    """Reject no request by its head."""
    return request.rejection


class RequestError(Exception):
    """A request that cannot be accepted; holds the answer to send."""

    def __init__(self, answer: CallerAnswer) -> None:
        """Store the answer."""
        super().__init__(answer.status)
        self.answer = answer


@dataclass(slots=True, frozen=True)
class ReaderOptions:
    """What all connections of a host share."""

    header_names: HeaderNames
    limits: GetLimits
    bodies: BodyBudget
    answers: AnswerMemory
    check_head: CheckHead = accept_every_head


class RequestReader:
    """Reads requests from a stream, one after the other.

    `is_reading` tells that a request has begun to arrive.
    """

    __slots__ = ('_buffer', '_chunks', '_options', '_stream', 'is_reading')

    def __init__(self, stream: IOStream, options: ReaderOptions) -> None:
        """Read from a stream that nobody else reads from."""
        self.is_reading = False
        self._stream = stream
        self._chunks = ChunkReader(stream)
        self._options = options
        self._buffer = b''

    async def wait_for_bytes(self, timeout_us: int) -> bool:
        """Wait for the first bytes of a request; false if none arrived.

        Can be called again then. Raises StreamClosedError if the caller closed.
        """
        self.is_reading = False
        if not self._buffer:
            if not await self._chunks.wait(timeout_us / SECOND_US):
                return False
            self._buffer = await self._chunks.read()
        return True

    async def discard(self) -> None:
        """Discard all bytes until the caller closes, which is an error.

        Raises StreamClosedError then.
        """
        while True:
            await self._chunks.read()

    async def read(self, parser: h11.Connection) -> CallerRequest | None:
        """Return the request that has begun; None if the caller closed.

        The memory for its body is held until `request.release_body` is called.
        The body of a rejected request is read, but not kept. Raises
        RequestError on a malformed or oversized request, or one that does not
        arrive in time.
        """
        self.is_reading = True
        received_us = boot_time_us()
        parser.receive_data(self._buffer)
        self._buffer = b''
        try:
            async with asyncio.timeout(
                self._limits.header_timeout_us / SECOND_US
            ):
                head = await self._read_head(parser)
        except TimeoutError as error:
            raise _timed_out() from error
        if head is None:
            return None
        request = self._request(head, received_us)
        await self._read_whole_body(parser, head, request)
        trailing, _ = parser.trailing_data
        self._buffer = bytes(trailing)
        return request

    @property
    def _limits(self) -> CallerLimits:
        return self._options.limits()

    async def _read_head(self, parser: h11.Connection) -> h11.Request | None:
        while True:
            event = _next_event(parser)
            match event:
                case h11.Request():
                    _check_head(event, self._limits)
                    return event
                case h11.NEED_DATA:
                    parser.receive_data(await self._chunks.read())
                case _:
                    return None

    async def _read_whole_body(
        self,
        parser: h11.Connection,
        head: h11.Request,
        request: CallerRequest,
    ) -> None:
        """Read a body before the request's deadline, within the memory.

        Also within the idle timeout for each piece of it.
        """
        headers = list(head.headers)
        length = int(find_header(headers, b'content-length') or 0)
        if length or find_header(headers, b'transfer-encoding'):
            request.rejection = await self._options.check_head(request)
        limit_bytes = self._limits.max_body_bytes
        body = _PartialBody(request, limit_bytes, length)
        is_complete = False
        try:
            body.check_memory()
            async with asyncio.timeout(
                request.time_left_us / SECOND_US
            ) as timeout:
                await self._read_body(parser, body, timeout)
            is_complete = True
        except TimeoutError as error:
            raise _timed_out() from error
        finally:
            if not is_complete:
                request.held_body.release()
        body.complete()

    async def _read_body(
        self,
        parser: h11.Connection,
        body: _PartialBody,
        timeout: asyncio.Timeout,
    ) -> None:
        pace = _BodyPace(timeout, self._limits.idle_timeout_us)
        while True:
            event = _next_event(parser)
            match event:
                case h11.Data(data=chunk):
                    body.add(chunk)
                case h11.EndOfMessage():
                    return
                case h11.NEED_DATA:
                    pace.expect_piece(body.size_bytes)
                    await self._send_continue(parser)
                    parser.receive_data(await self._chunks.read())
                case _:
                    raise RequestError(malformed_answer(HTTPStatus.BAD_REQUEST))

    async def _send_continue(self, parser: h11.Connection) -> None:
        if parser.they_are_waiting_for_100_continue:
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


class _BodyPace:
    """Time for each piece of a body, within the time for all of it."""

    __slots__ = ('_idle_s', '_latest_s', '_piece_end_bytes', '_timeout')

    def __init__(self, timeout: asyncio.Timeout, idle_timeout_us: int) -> None:
        self._timeout = timeout
        self._latest_s = timeout.when() or 0
        self._idle_s = idle_timeout_us / SECOND_US
        self._piece_end_bytes = 0

    def expect_piece(self, size_bytes: int) -> None:
        """Set the time for the next piece, if the last one is complete."""
        if size_bytes < self._piece_end_bytes:
            return
        self._piece_end_bytes = size_bytes + BODY_PIECE_BYTES
        end_s = asyncio.get_running_loop().time() + self._idle_s
        self._timeout.reschedule(min(self._latest_s, end_s))


class _PartialBody:
    """A body that is being read, and the memory held for it.

    That of a rejected request is counted, but not kept.
    """

    __slots__ = (
        '_announced_bytes',
        '_limit_bytes',
        '_received',
        '_request',
        'size_bytes',
    )

    def __init__(
        self, request: CallerRequest, limit_bytes: int, announced_bytes: int
    ) -> None:
        self._received = bytearray()
        self._request = request
        self._limit_bytes = limit_bytes
        self._announced_bytes = announced_bytes
        self.size_bytes = 0

    def check_memory(self) -> None:
        """Raise RequestError if there is not enough memory now."""
        if not self._is_kept:
            return
        if not self._request.held_body.fits(self._announced_bytes):
            raise RequestError(_out_of_memory_answer())

    def add(self, chunk: bytes | bytearray) -> None:
        """Append a chunk, within the memory."""
        self.size_bytes += len(chunk)
        _check_size(self.size_bytes, self._limit_bytes)
        if not self._is_kept:
            return
        held_body = self._request.held_body
        if not held_body.grow(self.size_bytes, self._announced_bytes):
            raise RequestError(_out_of_memory_answer())
        self._received += chunk

    def complete(self) -> None:
        """Hand the body over to its request."""
        self._request.body = bytes(self._received)
        self._request.held_body.shrink(len(self._received))

    @property
    def _is_kept(self) -> bool:
        return self._request.rejection is None


def _out_of_memory_answer() -> CallerAnswer:
    return refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Verdict.NOT_RUN,
        Reason.OVERLOAD,
        BODY_RETRY_AFTER_US,
        must_close=True,
    )


def malformed_answer(status: HTTPStatus) -> CallerAnswer:
    """Build the answer to a request that cannot be accepted as it is."""
    return refusal(
        status,
        Verdict.NOT_RUN,
        Reason.MALFORMED,
        must_close=True,
    )


def _timed_out() -> RequestError:
    return RequestError(malformed_answer(HTTPStatus.REQUEST_TIMEOUT))


def _next_event(parser: h11.Connection) -> object:
    try:
        return parser.next_event()
    except h11.RemoteProtocolError as error:
        status = HTTPStatus(error.error_status_hint)
        raise RequestError(malformed_answer(status)) from error


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
    _check_size(int(length or 0), limits.max_body_bytes)
    size_bytes = sum(len(name) + len(text) + 4 for name, text in headers)
    if size_bytes > limits.max_header_bytes:
        too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        raise RequestError(malformed_answer(too_large))


def _count_headers(headers: RawHeaders, name: bytes) -> int:
    return sum(header.lower() == name for header, _ in headers)


def _has_dot_segments(target: bytes) -> bool:
    path = target.partition(b'?')[0].lower().replace(b'%2e', b'.')
    return not DOT_SEGMENTS.isdisjoint(path.split(b'/'))


def _check_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise RequestError(
            malformed_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        )


def _parse_key(credentials: bytes, scheme: bytes) -> str:
    name, _, key = credentials.partition(b' ')
    if name.lower() != scheme:
        return ''
    return key.strip().decode('latin-1')
