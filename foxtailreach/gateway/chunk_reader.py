"""Reads a stream in chunks, whoever stops waiting for one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from tornado.iostream import IOStream

READ_BYTES = 65_536


class ChunkReader:
    """The only reader of a stream, with at most one read pending.

    Cancelling a read does not take it back from the stream, which allows no
    second one. So a read goes on when its caller stops waiting, by a timeout
    for example, and the next caller gets its chunk.
    """

    __slots__ = ('_reading', '_stream', 'read_bytes')

    def __init__(self, stream: IOStream, read_bytes: int = READ_BYTES) -> None:
        """Read from a stream that nobody else reads from.

        `read_bytes` bounds a chunk; it can be changed before each read.
        """
        self._stream = stream
        self.read_bytes = read_bytes
        self._reading: asyncio.Task[bytes] | None = None

    @property
    def has_ended(self) -> bool:
        """Whether a read has got a chunk or an error that nobody took."""
        return self._reading is not None and self._reading.done()

    def start(self) -> asyncio.Task[bytes]:
        """Start a read, unless one is pending, and return it."""
        if self._reading is None:
            self._stream.read_chunk_size = self.read_bytes
            self._reading = asyncio.ensure_future(
                _as_coroutine(
                    self._stream.read_bytes(self.read_bytes, partial=True),
                ),
            )
            self._reading.add_done_callback(_ignore_result)
        return self._reading

    async def wait(self, timeout_s: float) -> bool:
        """Wait for a chunk or an error; return whether there is one."""
        await asyncio.wait((self.start(),), timeout=timeout_s)
        return self.has_ended

    async def read(self) -> bytes:
        """Return the next chunk; raise StreamClosedError at the end."""
        reading = self.start()
        await asyncio.wait((reading,))
        self._reading = None
        try:
            return reading.result()
        finally:
            # The traceback of an error refers to this frame. If the frame
            # referred to the task, and thereby to the error, all frames up to
            # the handler would stay until the next garbage collection, with
            # the bodies and answers that they hold.
            del reading

    def cancel(self) -> None:
        """Stop the pending read of a closed stream."""
        if self._reading is not None:
            self._reading.cancel()


def close_stream(stream: IOStream) -> None:
    """Close a stream so that it is freed at once.

    A stream keeps the error that closed it, whose traceback refers to the
    frames that read or wrote at that time, with what they held. As these refer
    to the stream, they would stay until the next garbage collection.
    """
    stream.close()
    if stream.error is not None:
        stream.error.__traceback__ = None


async def _as_coroutine(awaitable: Awaitable[bytes]) -> bytes:
    try:
        return await awaitable
    finally:
        # See `ChunkReader.read`.
        del awaitable


def _ignore_result(task: asyncio.Task[bytes]) -> None:
    """Mark an exception of a read as handled, as nobody may wait for it."""
    if not task.cancelled():
        task.exception()
