"""Bytes of a caller that were read and not consumed yet."""

from __future__ import annotations

import asyncio
import re

from tornado.iostream import IOStream

from foxtailreach.gateway.chunk_reader import ChunkReader
from foxtailreach.gateway.chunked_body import ChunkedBody
from foxtailreach.gateway.host_memory import CONNECTION_BYTES, HostMemory

# Read at once for a head or chunks; a body with a length takes larger pieces.
READ_BYTES = 16_384
BODY_READ_BYTES = 65_536
# The stream may read so much while nobody asks for bytes.
IDLE_READ_BYTES = 4096
# Two line breaks; the parser accepts those without a carriage return, too.
_END_OF_HEAD = re.compile(rb'\n\r?\n')
_END_OF_HEAD_BYTES = 3


class ReadBuffer:
    """Buffers what a caller has sent; counts the memory of the connection."""

    __slots__ = (
        '_chunks',
        '_held_bytes',
        '_memory',
        '_searched_bytes',
        '_stream',
        'received',
    )

    def __init__(self, stream: IOStream, memory: HostMemory) -> None:
        """Read from a stream that nobody else reads from."""
        stream.read_chunk_size = IDLE_READ_BYTES
        self._stream = stream
        self._chunks = ChunkReader(stream, READ_BYTES)
        self._memory = memory
        self._held_bytes = CONNECTION_BYTES
        memory.hold(CONNECTION_BYTES)
        self._searched_bytes = 0
        self.received = bytearray()

    def close(self) -> None:
        """Return the memory; the connection is not used any more."""
        self.received.clear()
        self._memory.release(self._held_bytes)
        self._held_bytes = 0

    async def wait(self, timeout_s: float) -> bool:
        """Wait until there are bytes; return whether there are some.

        Raises StreamClosedError if the caller has closed.
        """
        if self.received:
            return True
        if not await self._chunks.wait(timeout_s):
            return False
        await self.read()
        return True

    async def wait_unless(self, done: asyncio.Future[None]) -> None:
        """Wait until bytes arrive or something else is done."""
        await asyncio.wait(
            (self._chunks.start(), done), return_when=asyncio.FIRST_COMPLETED
        )

    async def read(self, size_bytes: int = READ_BYTES) -> None:
        """Wait for further bytes; raise StreamClosedError at the end."""
        self._chunks.read_bytes = size_bytes
        self.received += await self._chunks.read()
        self._stream.read_chunk_size = IDLE_READ_BYTES
        self._count()

    async def discard(self) -> None:
        """Discard all bytes until the caller closes, which is an error."""
        while True:
            self.consume(len(self.received))
            await self.read()

    def consume(self, count: int) -> bytes:
        """Take bytes from the start."""
        taken = bytes(memoryview(self.received)[:count])
        del self.received[:count]
        self._consumed()
        return taken

    def decode(self, chunks: ChunkedBody, max_parts: int) -> bytearray:
        """Take chunks from the start; return their data.

        Raises MalformedChunkError.
        """
        decoded = chunks.decode(self.received, max_parts)
        self._consumed()
        return decoded

    def head_bytes(self) -> int:
        """Return the size of the head at the start; 0 if it is incomplete.

        What was searched already is not searched again.
        """
        start = max(0, self._searched_bytes - _END_OF_HEAD_BYTES)
        found = _END_OF_HEAD.search(self.received, start)
        self._searched_bytes = len(self.received)
        return 0 if found is None else found.end()

    def _consumed(self) -> None:
        self._searched_bytes = 0
        self._count()

    def _count(self) -> None:
        """Count the bytes that are held now."""
        held_bytes = CONNECTION_BYTES + len(self.received)
        grown_bytes = held_bytes - self._held_bytes
        self._held_bytes = held_bytes
        if grown_bytes > 0:
            self._memory.hold(grown_bytes)
        else:
            self._memory.release(-grown_bytes)
