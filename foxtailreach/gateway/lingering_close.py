"""Closes connections so that their callers get the last answer.

Closing a connection with unread bytes resets it, which can destroy an answer
that the caller has not read yet. It would not learn that its request has not
run.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

from tornado.iostream import IOStream

from foxtailreach.gateway.chunk_reader import ChunkReader, close_stream

LINGER_S = 1.0


async def close_lingering(
    stream: IOStream, discard: Callable[[], Awaitable[None]]
) -> None:
    """Close the writing side, and all when the caller has closed, too.

    `discard` must read until then. It is not waited for longer than
    `LINGER_S`.
    """
    try:
        with suppress(OSError, TimeoutError):
            stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER_S):
                await discard()
    finally:
        close_stream(stream)


async def discard_all(chunks: ChunkReader) -> None:
    """Read and discard bytes until the caller closes, which is an error."""
    while True:
        await chunks.read()
