"""Connections from callers: reads pipelined requests, answers in order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, suppress

import h11
from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from foxtailreach.core.caller_connections import ConnectionState
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.answer_writer import encode_answer, write_parts
from foxtailreach.gateway.backlog import Backlog
from foxtailreach.gateway.caller_limit import CallerLimit, refusal_bytes
from foxtailreach.gateway.chunk_reader import ChunkReader, close_stream
from foxtailreach.gateway.http_types import (
    CallerAnswer,
    CallerRequest,
)
from foxtailreach.gateway.lingering_close import close_lingering, discard_all
from foxtailreach.gateway.pending_answer import (
    PendingAnswer,
    rejected_answer,
    wants_close,
)
from foxtailreach.gateway.request_error import RequestError
from foxtailreach.gateway.request_reader import ReaderOptions, RequestReader
from foxtailreach.gateway.settings import DEFAULT_MAX_DESCRIPTORS

# Bound on the requests of one connection that wait for their answers.
MAX_PIPELINED_REQUESTS = 16
# Read buffer of a connection, which bounds the memory for a body.
MAX_BUFFER_BYTES = 80 * 1024 * 1024
# Refused connections that are kept until their callers have the answer.
MAX_LINGERING = 32
MIN_IDLE_WAIT_US = 10 * MILLISECOND_US

Handle = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class Frontend(TCPServer):
    """Accepts connections from callers."""

    def __init__(
        self,
        options: ReaderOptions,
        handle: Handle,
        max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
    ) -> None:
        """Serve each request with `handle`, on a limited number of streams."""
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self.limit = CallerLimit.from_descriptors(max_descriptors)
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self._options = options
        self._handle = handle
        self._refused = 0

    @property
    def is_idle(self) -> bool:
        """Whether no connection has an unanswered request."""
        return not any(
            connection.backlog.count for connection in self.connections
        )

    def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> Awaitable[None] | None:
        """Serve one connection until it closes, if there is room for it.

        This is decided at once, as many are accepted at a time.
        """
        if not self.limit.admit(address[0], self.connections):
            return self._refuse(stream)
        stream.set_nodelay(True)
        connection = CallerConnection(stream, self._options, self._handle, self)
        connection.address = address[0]
        self.connections.add(connection)
        return self._serve(connection)

    async def _refuse(self, stream: IOStream) -> None:
        """Answer and close a connection before anything is read from it."""
        with suppress(StreamClosedError):
            await stream.write(refusal_bytes())
        if self._refused >= MAX_LINGERING:
            stream.close()
            return
        self._refused += 1
        try:
            chunks = ChunkReader(stream)
            await close_lingering(stream, lambda: discard_all(chunks))
        finally:
            self._refused -= 1

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        finally:
            # Unless it was closed to make room for another one.
            if connection in self.connections:
                self.connections.discard(connection)
                self.limit.remove(connection.address)

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection:
    """A connection from a caller."""

    __slots__ = (
        '_frontend',
        '_handle',
        '_idle_since_us',
        '_is_closing',
        '_options',
        '_reader',
        '_resources',
        '_running',
        '_stream',
        'address',
        'backlog',
    )

    def __init__(
        self,
        stream: IOStream,
        options: ReaderOptions,
        handle: Handle,
        frontend: Frontend,
    ) -> None:
        """Take over an accepted stream."""
        self.backlog = Backlog()
        self.address = ''
        self._stream = stream
        self._options = options
        self._handle = handle
        self._frontend = frontend
        self._reader = RequestReader(stream, options, self.backlog)
        self._running: set[asyncio.Task[CallerAnswer]] = set()
        # Of the requests whose answers were not sent.
        self._resources: set[ExitStack] = set()
        self._is_closing = False
        # The last answer, or the start of the connection.
        self._idle_since_us = boot_time_us()

    async def serve(self) -> None:
        """Serve until the connection closes, then cancel what is in flight."""
        answers: asyncio.Queue[tuple[h11.Connection, PendingAnswer] | None]
        answers = asyncio.Queue(MAX_PIPELINED_REQUESTS)
        self._stream.set_close_callback(self._end_requests)
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
        if not self.backlog.count and not self._reader.is_reading:
            self._stream.close()

    def unserved_state(self) -> ConnectionState | None:
        """Return its state, or None while a request is to be answered."""
        if self.backlog.count:
            return None
        return ConnectionState(
            id(self),
            self.address,
            not self._reader.is_reading,
            self._idle_since_us,
        )

    def close(self) -> None:
        """Close the connection to make room for another one."""
        self._stream.close()

    def _end_requests(self) -> None:
        """Cancel the requests in flight, and read no further one."""
        self._is_closing = True
        self.backlog.clear()
        for task in self._running:
            task.cancel()

    def _cancel_running(self) -> None:
        """Cancel the requests in flight and close the connection."""
        self._end_requests()
        for resources in self._resources:
            resources.close()
        self._reader.close()
        close_stream(self._stream)

    async def _read_requests(
        self,
        answers: asyncio.Queue[tuple[h11.Connection, PendingAnswer] | None],
    ) -> None:
        while not self._is_closing:
            if not await self._wait_for_request():
                return
            parser = h11.Connection(h11.SERVER)
            try:
                request = await self._reader.read(parser)
            except RequestError as rejection:
                self._is_closing = True
                await answers.put((parser, rejected_answer(rejection.answer)))
                self.backlog.add()
                return
            if self._is_closing:
                # The caller sends it again, whether it may run twice or not.
                request.resources.close()
                request.release_body()
                return
            # No variable here may keep the request or its answer, as they
            # would stay in memory until the next request arrives.
            is_last = wants_close(request)
            pending = self._start(request)
            del request
            await answers.put((parser, pending))
            del parser, pending
            if is_last:
                # Discard later bytes; reading still detects a disconnect.
                await self._watch_until_answered()

    def _start(self, request: CallerRequest) -> PendingAnswer:
        """Serve a request in a task of its own."""
        self.backlog.add()
        self._resources.add(request.resources)
        task = asyncio.ensure_future(self._run(request))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        # Also if the task was cancelled before its first step, which happens
        # if the caller closed right after the last byte.
        task.add_done_callback(lambda _: request.release_body())
        return PendingAnswer(request, task)

    async def _wait_for_request(self) -> bool:
        """Wait until a request begins; False if none is to be read."""
        wait_us = self._idle_left_us()
        while not await self._reader.wait_for_bytes(wait_us):
            wait_us = max(MIN_IDLE_WAIT_US, self._idle_left_us())
            if not self.backlog.count and self._idle_left_us() <= 0:
                return False
        if self._frontend.is_stopping and self.backlog.count:
            # The last answer closes the connection; a caller resends what was
            # not read.
            await self._watch_until_answered()
            return False
        return True

    def _idle_left_us(self) -> int:
        """Return how long the caller may still be idle.

        A caller that waits for an answer is not idle.
        """
        idle_timeout_us = self._options.limits().idle_timeout_us
        if self.backlog.count:
            return idle_timeout_us
        return self._idle_since_us + idle_timeout_us - boot_time_us()

    async def _watch_until_answered(self) -> None:
        """Read and discard bytes until every request is answered.

        Raises StreamClosedError if the caller disconnects before.
        """
        discarding = asyncio.ensure_future(self._reader.discard())
        answering = asyncio.ensure_future(self._wait_until_answered())
        try:
            await asyncio.wait(
                (discarding, answering),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            discarding.cancel()
            answering.cancel()
        self._is_closing = True
        if discarding.done():
            discarding.result()

    async def _wait_until_answered(self) -> None:
        while self._running:
            await asyncio.wait(self._running)
        await self.backlog.wait_until_empty()

    async def _run(self, request: CallerRequest) -> CallerAnswer:
        answer = await self._handle(request)
        # From here on it waits for its caller.
        request.held_answer.assign(id(self), self._stream.close)
        return answer

    async def _write_answers(
        self,
        answers: asyncio.Queue[tuple[h11.Connection, PendingAnswer] | None],
    ) -> None:
        try:
            # No variable here may keep an answer that was sent, as it would
            # stay in memory until the next one.
            is_open = True
            while is_open:
                is_open = await self._write_next(await answers.get())
        finally:
            self._end_answers(answers)

    def _end_answers(
        self,
        answers: asyncio.Queue[tuple[h11.Connection, PendingAnswer] | None],
    ) -> None:
        """Stop reading requests; one may wait for a place in the queue."""
        self._end_requests()
        self._stream.close()
        while not answers.empty():
            answers.get_nowait()

    async def _write_next(
        self, entry: tuple[h11.Connection, PendingAnswer] | None
    ) -> bool:
        """Write an answer; False if it was the last one."""
        if entry is None:
            return False
        parser, pending = entry
        answer = await pending.answer()
        is_last = self._frontend.is_stopping and self.backlog.count == 1
        must_close = answer.must_close or is_last
        if must_close:
            self._is_closing = True
        try:
            parts = encode_answer(
                parser,
                pending,
                answer,
                self._options.header_names.request_id,
                must_close=must_close,
            )
        except h11.LocalProtocolError as error:
            logger.error('answer cannot be sent: {}', error)
            self._stream.close()
            return False
        idle_s = self._options.limits().idle_timeout_us / SECOND_US
        try:
            await write_parts(self._stream, parts, idle_s)
        except StreamClosedError:
            return False
        except TimeoutError:
            logger.info('a caller does not read its answer')
            return False
        self._release_answer(pending)
        self.backlog.remove()
        self._idle_since_us = boot_time_us()
        if pending.request is None:
            await close_lingering(self._stream, self._reader.discard)
            return False
        if must_close or parser.our_state is h11.MUST_CLOSE:
            self._stream.close()
            return False
        return True

    def _release_answer(self, pending: PendingAnswer) -> None:
        """Return the memory of an answer that was sent."""
        if pending.request is not None:
            self._resources.discard(pending.request.resources)
            pending.request.resources.close()
