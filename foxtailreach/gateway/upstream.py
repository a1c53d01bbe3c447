"""Connection pool to the targets.

A request is written once, on one connection, and never resent here. The
parser is h11 rather than libcurl, because libcurl resends by itself on a
pooled connection that turns out to be closed, which could run a request
twice.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import h11
from tornado.iostream import IOStream, StreamClosedError

from foxtailreach.core.dispatch.messages import SendOutcome, SlotGrant
from foxtailreach.core.dispatch.target_notices import NO_NOTICE, TargetNotice
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.answer_body import AnswerBody, AnswerGivenUpError
from foxtailreach.gateway.answer_memory import HeldAnswer
from foxtailreach.gateway.chunk_reader import ChunkReader, close_stream
from foxtailreach.gateway.http_types import (
    CallerRequest,
    HeaderNames,
    RawHeaders,
    find_header,
    forwarded_headers,
)
from foxtailreach.gateway.notice_reader import read_notice
from foxtailreach.gateway.target_limit import TargetLimit
from foxtailreach.gateway.target_protocol import (
    ConnectionLostError,
    check_response,
    may_lack_id,
    serialize,
)

# A connection opens within 3 ms; if the first packet is lost, TCP resends it
# after 1 s.
CONNECT_TIMEOUT_S = 0.35
# Stop using an idle connection this long before the target closes it.
IDLE_MARGIN_US = 1500 * MILLISECOND_US
DEFAULT_IDLE_LIMIT_US = 3 * SECOND_US
# Non-repeatable requests are not sent on connections that were idle longer.
AT_MOST_ONCE_IDLE_LIMIT_US = 6 * SECOND_US
# All that a target may send for one request. `AnswerMemory` bounds the answers
# to all requests.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Parts of an answer: its head and its chunks. Many tiny ones in one read would
# use up the time of the event loop; those of a slow answer come one by one.
FREE_ANSWER_PARTS = 200
FREE_PARTS_PER_READ = 8
MIN_BYTES_PER_PART = 32
MAX_ANSWER_PARTS = 20_000
# Other tasks run after so many parts, which takes less than 1 ms.
PARTS_PER_TURN = 8
MAX_INTERIM_ANSWERS = 16
# Answers to earlier requests are skipped; after this many answers without
# the right one the connection is closed.
MAX_STALE_ANSWERS = 3
_SUCCESS = range(200, 300)
_MISDIRECTED = 421
_SERVER_ERROR = 500
# More digits would be years.
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,9})')

# Tells why a granted target must get no request now; '' if it may.
WithholdCause = Callable[[SlotGrant, int], str]


@dataclass(slots=True)
class TargetAnswer:
    """A target's answer, or the outcome and cause why there is none."""

    outcome: SendOutcome
    status: int = 0
    phrase: bytes = b''
    headers: RawHeaders = ()  # type: ignore[assignment]
    body: bytes | bytearray = b''
    is_reused: bool = False
    cause: str = ''
    notice: TargetNotice = NO_NOTICE


class TargetConnection:
    """A connection to a target, used by one request at a time."""

    __slots__ = (
        '_body',
        '_chunks',
        '_exchanges',
        '_held_answer',
        '_parts',
        '_reads',
        '_received_bytes',
        'idle_limit_us',
        'idle_since_us',
        'must_close',
        'stream',
    )

    def __init__(self, stream: IOStream) -> None:
        """Take over a connected stream."""
        self.stream = stream
        self.idle_since_us = 0
        self.idle_limit_us = DEFAULT_IDLE_LIMIT_US
        self.must_close = False
        self._exchanges = 0
        self._chunks = ChunkReader(stream)
        self._received_bytes = 0
        self._parts = 0
        self._reads = 0
        self._held_answer: HeldAnswer | None = None
        # Of the answer that is being received.
        self._body = AnswerBody()

    @property
    def is_usable(self) -> bool:
        """Whether the connection can be reused.

        Unexpected bytes or an error while idle make it unusable.
        """
        if self.must_close or self.stream.closed():
            return False
        return not self._chunks.has_ended

    def idle_us(self, now_us: int) -> int:
        """Return how long the connection has been idle, in microseconds."""
        return now_us - self.idle_since_us

    def mark_idle(self, now_us: int) -> None:
        """Mark the connection idle; bytes that arrive now make it unusable."""
        self.idle_since_us = now_us
        self._chunks.start()

    def close(self) -> None:
        """Close the connection, which cancels the request at the target."""
        self.must_close = True
        close_stream(self.stream)
        self._chunks.cancel()

    def evict(self) -> None:
        """Give up the answer that is received, and free its memory at once.

        The tasks that wait for it notice only after others have received more.
        """
        self._body.give_up()
        self.stream.close()

    async def exchange(
        self,
        request: h11.Request,
        body: bytes,
        id_header: bytes,
        request_id: bytes,
        held_answer: HeldAnswer,
    ) -> tuple[h11.Response, bytearray]:
        """Send one request and read its answer, within `held_answer`.

        Answers that echo the id of another request are skipped, and so are
        those that echo none if they may belong to another one. Raises
        ConnectionLostError if no complete answer arrives within
        `MAX_ANSWER_BYTES`.
        """
        self._received_bytes = 0
        self._parts = 0
        self._reads = 0
        self._held_answer = held_answer
        is_first = not self._exchanges
        self._exchanges += 1
        parser = self._send(request, body)
        for _ in range(MAX_STALE_ANSWERS):
            response, answer_body = await self._read_answer(parser)
            echoed = find_header(list(response.headers), id_header)
            if echoed == request_id or (
                not echoed and may_lack_id(response, is_first=is_first)
            ):
                self._check_reuse(parser, response)
                return response, answer_body
            trailing, is_closed = parser.trailing_data
            if is_closed or parser.their_state is h11.MUST_CLOSE:
                break
            self.must_close = True
            parser, _ = serialize(request, body)
            if trailing:
                parser.receive_data(trailing)
        raise ConnectionLostError('received only answers to other requests')

    def _send(self, request: h11.Request, body: bytes) -> h11.Connection:
        """Send a request; return the parser of its answer."""
        parser, parts = serialize(request, body)
        for part in parts:
            written = self.stream.write(part)
            written.add_done_callback(_ignore_result)
        return parser

    async def _read_answer(
        self,
        parser: h11.Connection,
    ) -> tuple[h11.Response, bytearray]:
        response = await self._read_head(parser)
        body = AnswerBody()
        self._body = body
        while True:
            event = await self._read_event(parser)
            match event:
                case h11.Data(data=chunk):
                    body.add(chunk)
                case h11.EndOfMessage():
                    return response, body.complete()
                case _:
                    raise ConnectionLostError(
                        f'unexpected HTTP event {event!r}'
                    )

    async def _read_head(self, parser: h11.Connection) -> h11.Response:
        for _ in range(MAX_INTERIM_ANSWERS):
            event = await self._read_event(parser)
            match event:
                case h11.Response():
                    check_response(event)
                    return event
                case h11.InformationalResponse():
                    check_response(event)
                case _:
                    raise ConnectionLostError(
                        f'unexpected HTTP event {event!r}'
                    )
        raise ConnectionLostError('too many interim answers')

    async def _read_event(self, parser: h11.Connection) -> object:
        while True:
            event: object = parser.next_event()
            if event is not h11.NEED_DATA:
                await self._count_part()
                return event
            parser.receive_data(await self._read_chunk())

    async def _count_part(self) -> None:
        """Let other tasks run at times; raise an error on too many parts."""
        self._parts += 1
        free_parts = FREE_ANSWER_PARTS + FREE_PARTS_PER_READ * self._reads
        by_size = self._received_bytes // MIN_BYTES_PER_PART
        if self._parts > min(MAX_ANSWER_PARTS, free_parts + by_size):
            raise ConnectionLostError('answer comes in too many parts')
        if self._parts % PARTS_PER_TURN == 0:
            await asyncio.sleep(0)

    async def _read_chunk(self) -> bytes:
        """Return the next bytes; b'' at a clean end of the stream.

        Raises ConnectionLostError if the connection was reset, or if the
        target has sent too much.
        """
        try:
            chunk = await self._chunks.read()
        except StreamClosedError as error:
            self._check_end(error)
            return b''
        self._reads += 1
        self._received_bytes += len(chunk)
        if self._received_bytes > MAX_ANSWER_BYTES:
            raise ConnectionLostError('answer exceeds the size limit')
        held_answer = self._held_answer
        if held_answer is not None and not held_answer.grow(len(chunk)):
            raise AnswerGivenUpError
        return chunk

    def _check_end(self, error: StreamClosedError) -> None:
        """Raise ConnectionLostError unless the target has ended the stream."""
        if self._held_answer is not None and self._held_answer.is_evicted:
            raise AnswerGivenUpError from error
        if error.real_error is not None or self.stream.error is not None:
            raise ConnectionLostError(
                f'connection reset: {error.real_error}'
            ) from error

    def _check_reuse(
        self, parser: h11.Connection, response: h11.Response
    ) -> None:
        """Mark the connection for closing unless it can be reused.

        Adopt the idle limit that the target advertises.
        """
        trailing, is_closed = parser.trailing_data
        if trailing or is_closed or self.stream.writing():
            self.must_close = True
        if parser.their_state is not h11.DONE:
            self.must_close = True
        headers = list(response.headers)
        if b'close' in find_header(headers, b'connection').lower():
            self.must_close = True
        advertised = _KEEP_ALIVE_TIMEOUT.search(
            find_header(headers, b'keep-alive'),
        )
        if advertised is not None:
            limit_us = int(advertised[1]) * SECOND_US - IDLE_MARGIN_US
            self.idle_limit_us = max(0, limit_us)


class Upstream:
    """Sends requests to targets over pooled connections."""

    __slots__ = (
        '_header_names',
        '_idle',
        '_idle_count',
        '_limit',
        '_withhold_cause',
        'opened',
        'reused',
    )

    def __init__(
        self,
        header_names: HeaderNames,
        withhold_cause: WithholdCause,
        limit: TargetLimit | None = None,
    ) -> None:
        """Create an empty pool; `withhold_cause` is asked before each send.

        Idle connections are closed where `limit` would be exceeded.
        """
        self._limit = TargetLimit() if limit is None else limit
        self._idle_count = 0
        self._header_names = header_names
        self._withhold_cause = withhold_cause
        self._idle: dict[tuple[str, int], deque[TargetConnection]] = {}
        self.opened = 0
        self.reused = 0

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        self._idle_count = 0

    def connected_targets(self, now_us: int) -> tuple[str, ...]:
        """Return the ids of the targets with a usable idle connection."""
        self._close_expired(now_us)
        return tuple(target_id for target_id, _ in self._idle)

    async def send(
        self,
        request: CallerRequest,
        grant: SlotGrant,
        customer: str,
        deadline_us: int,
        *,
        is_repeatable: bool,
    ) -> TargetAnswer:
        """Send a request to the granted target and read its answer.

        Failures become outcomes of the answer. Cancellation closes the
        connection. Nothing is sent if this host knows that the target leaves or
        pauses, also if it learns so while the connection opens.
        """
        now_us = boot_time_us()
        cause = self._withhold_cause(grant, now_us)
        if cause:
            return TargetAnswer(SendOutcome.WITHHELD, cause=cause)
        key = (grant.target_id, grant.started_ms)
        connection = self._take_idle_connection(
            key, now_us, is_repeatable=is_repeatable
        )
        is_reused = connection is not None
        if connection is None:
            self._close_surplus()
            connection = await _connect(grant, deadline_us - now_us)
            if connection is None:
                return TargetAnswer(SendOutcome.UNREACHABLE)
            self.opened += 1
            cause = self._withhold_cause(grant, boot_time_us())
            if cause:
                connection.close()
                return TargetAnswer(SendOutcome.WITHHELD, cause=cause)
        self.reused += is_reused
        try:
            answer = await self._exchange(
                connection,
                request,
                grant,
                customer,
                deadline_us,
            )
        finally:
            self._return_connection(key, connection)
        answer.is_reused = is_reused
        return answer

    async def _exchange(
        self,
        connection: TargetConnection,
        request: CallerRequest,
        grant: SlotGrant,
        customer: str,
        deadline_us: int,
    ) -> TargetAnswer:
        left_us = max(MILLISECOND_US, deadline_us - boot_time_us())
        is_complete = False
        held_answer = request.held_answer
        before_bytes = held_answer.size_bytes
        kept_bytes = 0
        owner = (grant.target_id, grant.started_ms)
        held_answer.assign(owner, connection.evict)
        try:
            async with asyncio.timeout(left_us / SECOND_US):
                response, body = await connection.exchange(
                    self._target_request(request, grant, customer, left_us),
                    request.body,
                    self._header_names.request_id,
                    request.request_id.encode('latin-1'),
                    held_answer,
                )
                is_complete = True
                kept_bytes = len(body)
        except TimeoutError:
            return TargetAnswer(SendOutcome.TIMED_OUT)
        except (
            ConnectionLostError,
            StreamClosedError,
            h11.RemoteProtocolError,
        ) as error:
            cause = str(error) or type(error).__name__
            return TargetAnswer(SendOutcome.LOST, cause=cause)
        finally:
            held_answer.end_receipt(before_bytes + kept_bytes)
            if not is_complete:
                connection.close()
        return self._to_answer(response, body)

    def _to_answer(
        self, response: h11.Response, body: bytearray
    ) -> TargetAnswer:
        answer = TargetAnswer(
            outcome=SendOutcome.SERVED,
            status=response.status_code,
            phrase=bytes(response.reason),
            headers=list(response.headers),
            body=body,
        )
        answer.outcome = self._classify(answer)
        if answer.outcome is SendOutcome.LOST:
            answer.cause = 'successful answer is unsigned or encoded'
        elif answer.outcome is not SendOutcome.MISDIRECTED:
            answer.notice = read_notice(
                answer.status, answer.headers, self._header_names.leaving
            )
        return answer

    def _classify(self, answer: TargetAnswer) -> SendOutcome:
        """Return the outcome that an answer stands for.

        A successful answer that is unsigned or encoded counts as lost.
        """
        if answer.status == _MISDIRECTED:
            return SendOutcome.MISDIRECTED
        if find_header(answer.headers, self._header_names.not_executed):
            return SendOutcome.SHED
        if answer.status >= _SERVER_ERROR:
            return SendOutcome.FAILED
        is_signed = bool(
            find_header(answer.headers, self._header_names.signature)
        )
        is_encoded = bool(find_header(answer.headers, b'content-encoding'))
        if answer.status in _SUCCESS and (is_encoded or not is_signed):
            return SendOutcome.LOST
        return SendOutcome.SERVED

    def _target_request(
        self,
        request: CallerRequest,
        grant: SlotGrant,
        customer: str,
        left_us: int,
    ) -> h11.Request:
        header_names = self._header_names
        removed = frozenset(
            (
                b'authorization',
                header_names.time_left_ms,
                header_names.customer,
                header_names.expected_target,
            ),
        )
        headers = forwarded_headers(request.headers, removed)
        left_ms = str(left_us // MILLISECOND_US).encode()
        headers.append((header_names.time_left_ms, left_ms))
        headers.append((header_names.expected_target, grant.target_id.encode()))
        if customer:
            headers.append((header_names.customer, customer.encode()))
        if request.body or request.method not in {b'GET', b'HEAD'}:
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        return h11.Request(
            method=request.method,
            target=request.path,
            headers=headers,
        )

    def _close_surplus(self) -> None:
        """Close idle connections, as a new one needs a descriptor.

        Their targets are in the order in which they became idle.
        """
        limit = self._limit
        while self._idle_count + limit.in_use > limit.max_connections:
            key = next(iter(self._idle), None)
            if key is None:
                return
            self._idle[key].popleft().close()
            self._idle_count -= 1
            self._remove_if_empty(key)

    def _take_idle_connection(
        self,
        key: tuple[str, int],
        now_us: int,
        *,
        is_repeatable: bool,
    ) -> TargetConnection | None:
        connections = self._idle.get(key, deque())
        while connections:
            connection = connections.pop()
            self._idle_count -= 1
            limit_us = connection.idle_limit_us
            if not is_repeatable:
                limit_us = min(limit_us, AT_MOST_ONCE_IDLE_LIMIT_US)
            if connection.is_usable and connection.idle_us(now_us) < limit_us:
                self._remove_if_empty(key)
                return connection
            connection.close()
        self._remove_if_empty(key)
        return None

    def _return_connection(
        self,
        key: tuple[str, int],
        connection: TargetConnection,
    ) -> None:
        if not connection.is_usable:
            connection.close()
            return
        connection.mark_idle(boot_time_us())
        self._idle.setdefault(key, deque()).append(connection)
        self._idle_count += 1

    def _close_expired(self, now_us: int) -> None:
        for key, connections in list(self._idle.items()):
            kept = deque[TargetConnection]()
            for connection in connections:
                is_within_limit = (
                    connection.idle_us(now_us) < connection.idle_limit_us
                )
                if connection.is_usable and is_within_limit:
                    kept.append(connection)
                else:
                    connection.close()
                    self._idle_count -= 1
            self._idle[key] = kept
            self._remove_if_empty(key)

    def _remove_if_empty(self, key: tuple[str, int]) -> None:
        if not self._idle.get(key):
            self._idle.pop(key, None)


async def _connect(grant: SlotGrant, left_us: int) -> TargetConnection | None:
    """Open a connection; None if that fails, in which case nothing was sent."""
    stream = IOStream(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        max_buffer_size=MAX_ANSWER_BYTES,
    )
    timeout_s = min(CONNECT_TIMEOUT_S, max(0, left_us / SECOND_US))
    is_open = False
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((grant.address, grant.port))
            is_open = True
    except (TimeoutError, OSError, StreamClosedError):
        return None
    finally:
        if not is_open:
            stream.close()
    stream.set_nodelay(True)
    return TargetConnection(stream)


def _ignore_result(future: asyncio.Future[Any]) -> None:
    """Mark an exception as retrieved; the reader of the stream handles it."""
    with suppress(asyncio.CancelledError):
        future.exception()
