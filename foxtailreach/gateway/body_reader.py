"""Reads the body of a request within the memory and in time.

Load pattern: many callers send large bodies at once, some stop halfway. A body
that does not fit is rejected before it is read, and one that stalls does not
outlive its request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway.chunked_body import ChunkedBody, MalformedChunkError
from foxtailreach.gateway.http_types import CallerRequest
from foxtailreach.gateway.read_buffer import (
    BODY_READ_BYTES,
    READ_BYTES,
    ReadBuffer,
)
from foxtailreach.gateway.request_error import (
    RequestError,
    check_size,
    malformed_answer,
    overloaded,
    timed_out,
)
from foxtailreach.gateway.work_turns import PARTS_PER_STEP, WorkTurns

# A caller must send so many bytes of a body within the idle timeout.
BODY_PIECE_BYTES = 65_536

# Called before a read, until a part of the body has arrived.
BeforeRead = Callable[[], Awaitable[None]]


class BodyReader:
    """Reads one body from the buffer of a connection.

    `length_bytes` is None for a body in chunks. That of a rejected request is
    counted, but not kept.
    """

    __slots__ = (
        '_before_read',
        '_buffer',
        '_length_bytes',
        '_limits',
        '_received',
        '_request',
        '_size_bytes',
        '_timeout',
        '_turns',
    )

    def __init__(
        self,
        buffer: ReadBuffer,
        request: CallerRequest,
        length_bytes: int | None,
        limits: CallerLimits,
        before_read: BeforeRead,
        turns: WorkTurns,
    ) -> None:
        """Read what follows the head of a request."""
        self._turns = turns
        self._buffer = buffer
        self._request = request
        self._length_bytes = length_bytes
        self._limits = limits
        self._before_read = before_read
        self._received = bytearray()
        self._size_bytes = 0
        self._timeout: asyncio.Timeout | None = None

    async def read(self) -> None:
        """Read the body into the request.

        Raises RequestError if it is malformed, does not fit into the memory or
        does not arrive before the request's deadline, and within the idle
        timeout for each piece of it. Nothing is held then.
        """
        held_body = self._request.held_body
        if self._is_kept and not held_body.may_fit(self._length_bytes or 0):
            raise overloaded()
        held_body.start_arrival(self._give_up)
        is_complete = False
        try:
            await self._read_in_time()
            is_complete = True
        except TimeoutError as error:
            if held_body.is_refused:
                raise overloaded() from error
            raise timed_out() from error
        finally:
            held_body.end_arrival()
            if not is_complete:
                held_body.release()
        self._request.body = bytes(self._received)
        held_body.shrink(len(self._received))

    @property
    def _is_kept(self) -> bool:
        return self._request.rejection is None

    def _give_up(self) -> None:
        """Free what has arrived, as others need the memory."""
        self._received.clear()
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _read_in_time(self) -> None:
        left_s = self._request.time_left_us / SECOND_US
        async with asyncio.timeout(left_s) as timeout:
            self._timeout = timeout
            pace = _BodyPace(timeout, self._limits.idle_timeout_us)
            if self._length_bytes is None:
                await self._read_chunks(pace)
            else:
                await self._read_length(pace, self._length_bytes)

    async def _read_length(self, pace: _BodyPace, length_bytes: int) -> None:
        while True:
            left_bytes = length_bytes - self._size_bytes
            available_bytes = min(left_bytes, len(self._buffer.received))
            if available_bytes:
                self._add(self._buffer.consume(available_bytes))
            if available_bytes == left_bytes:
                return
            await self._read_more(pace, BODY_READ_BYTES)

    async def _read_chunks(self, pace: _BodyPace) -> None:
        chunks = ChunkedBody(self._limits.max_header_bytes)
        while True:
            self._add(self._decode(chunks))
            if chunks.is_complete:
                return
            if chunks.needs_bytes:
                await self._read_more(pace, READ_BYTES)
            else:
                await self._turns.wait(PARTS_PER_STEP)

    def _decode(self, chunks: ChunkedBody) -> bytearray:
        try:
            return self._buffer.decode(chunks, PARTS_PER_STEP)
        except MalformedChunkError as error:
            answer = malformed_answer(HTTPStatus.BAD_REQUEST)
            raise RequestError(answer) from error

    async def _read_more(self, pace: _BodyPace, size_bytes: int) -> None:
        pace.expect_piece(self._size_bytes)
        if not self._size_bytes:
            await self._before_read()
        await self._buffer.read(size_bytes)

    def _add(self, received: bytes | bytearray) -> None:
        """Append a part of the body, within the memory."""
        self._size_bytes += len(received)
        check_size(self._size_bytes, self._limits.max_body_bytes)
        if not self._is_kept:
            return
        held_body = self._request.held_body
        if not held_body.grow(self._size_bytes, self._length_bytes or 0):
            raise overloaded()
        self._received += received


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
