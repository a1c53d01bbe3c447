"""Flow control between a socket that reads and one that writes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

WINDOW_BYTES = 256 * 1024

DrainedCallback = Callable[[int], None]


class PipeBrokenError(Exception):
    """The producer failed before it delivered the whole body."""


class BodyPipe:
    """A byte stream with one producer and one consumer.

    The producer feeds chunks and pauses while `is_full` is true. The pipe
    calls `on_drained` with the number of bytes that the consumer took, and
    `on_data` when there are new bytes, the end or a failure.
    """

    __slots__ = (
        '_chunks',
        '_event',
        'buffered_bytes',
        'is_broken',
        'is_complete',
        'on_data',
        'on_drained',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._chunks: deque[bytes] = deque()
        self._event = asyncio.Event()
        self.buffered_bytes = 0
        self.is_complete = False
        self.is_broken = False
        self.on_drained: DrainedCallback | None = None
        self.on_data: Callable[[], None] | None = None

    @property
    def is_full(self) -> bool:
        """Whether the producer should pause."""
        return self.buffered_bytes >= WINDOW_BYTES

    @property
    def is_finished(self) -> bool:
        """Whether the consumer has taken everything."""
        return self.is_complete and not self._chunks

    def feed(self, chunk: bytes, *, is_last: bool = False) -> None:
        """Add bytes, or mark the end."""
        if chunk:
            self._chunks.append(chunk)
            self.buffered_bytes += len(chunk)
        self.is_complete = self.is_complete or is_last
        self._wake()

    def mark_broken(self) -> None:
        """Tell the consumer that the rest of the body will not come."""
        if not self.is_complete:
            self.is_broken = True
            self._wake()

    def take(self, limit_bytes: int) -> bytes:
        """Return up to `limit_bytes` that are available now."""
        if not self._chunks:
            return b''
        chunk = self._chunks.popleft()
        if len(chunk) > limit_bytes:
            self._chunks.appendleft(chunk[limit_bytes:])
            chunk = chunk[:limit_bytes]
        self.buffered_bytes -= len(chunk)
        if self.on_drained is not None:
            self.on_drained(len(chunk))
        return chunk

    async def read(self) -> bytes:
        """Wait for bytes and return them; b'' marks the end.

        Raises PipeBrokenError if the producer failed.
        """
        while not self._chunks:
            if self.is_broken:
                raise PipeBrokenError
            if self.is_complete:
                return b''
            self._event.clear()
            await self._event.wait()
        return self.take(WINDOW_BYTES)

    def _wake(self) -> None:
        self._event.set()
        if self.on_data is not None:
            self.on_data()


class CreditWindow:
    """Number of bytes that may be sent before the receiver grants more."""

    __slots__ = ('_event', '_left_bytes', 'is_closed', 'on_open')

    def __init__(self) -> None:
        """Start with a full window."""
        self._left_bytes = WINDOW_BYTES
        self._event = asyncio.Event()
        self.is_closed = False
        self.on_open: Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether anything may be sent."""
        return self._left_bytes > 0

    def spend(self, size_bytes: int) -> None:
        """Subtract bytes sent; one chunk may take the window below zero."""
        self._left_bytes -= size_bytes

    def grant(self, size_bytes: int) -> None:
        """Add bytes that the receiver took."""
        self._left_bytes += size_bytes
        self._wake()

    def close(self) -> None:
        """Close the window and release a sender that waits for it."""
        self.is_closed = True
        self._wake()

    async def wait_open(self) -> None:
        """Wait until something may be sent, or the window is closed."""
        while not self.is_open and not self.is_closed:
            self._event.clear()
            await self._event.wait()

    def _wake(self) -> None:
        self._event.set()
        if self.on_open is not None:
            self.on_open()
