"""Decides when requests are read that were sent ahead of earlier answers.

Load pattern: many callers send many requests without waiting. Reading them
early is optional, so it must not take the memory and descriptors that the
first request of each connection needs.
"""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import ExitStack

from foxtailreach.gateway.backlog import Backlog
from foxtailreach.gateway.host_memory import HostMemory, unlimited_memory

# Of the host's memory.
READ_AHEAD_SHARE = 0.5
UNLIMITED_REQUESTS = 2**31


class ReadAhead:
    """Admits requests that were sent ahead, over all connections of a host."""

    __slots__ = ('_max_requests', '_waiting', 'memory', 'requests')

    def __init__(
        self, memory: HostMemory, max_requests: int = UNLIMITED_REQUESTS
    ) -> None:
        """Admit some, while there is memory to spare."""
        self.memory = memory
        self.requests = 0
        self._max_requests = max_requests
        self._waiting: deque[asyncio.Future[None]] = deque()
        memory.on_release = self._wake_next

    def may_read(self, size_bytes: int) -> bool:
        """Whether a request that takes some memory may be read ahead."""
        if self.requests >= self._max_requests:
            return False
        limit_bytes = self.memory.limit_bytes * READ_AHEAD_SHARE
        return self.memory.held_bytes + size_bytes <= limit_bytes

    async def enter(
        self, size_bytes: int, backlog: Backlog, stack: ExitStack
    ) -> None:
        """Wait until a request may be read ahead, or all before are answered.

        `backlog` has the unanswered requests of its connection; `stack` ends
        the request.
        """
        while backlog.count and not self.may_read(size_bytes):
            await self._wait_for_release(backlog)
        if backlog.count:
            self.requests += 1
            stack.callback(self._end_request)

    async def _wait_for_release(self, backlog: Backlog) -> None:
        released: asyncio.Future[None]
        released = asyncio.get_running_loop().create_future()
        self._waiting.append(released)
        answered = asyncio.ensure_future(backlog.wait_until_empty())
        try:
            await asyncio.wait(
                (released, answered), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            released.cancel()
            answered.cancel()

    def _end_request(self) -> None:
        self.requests -= 1
        self._wake_next()

    def _wake_next(self) -> None:
        """Let the connection that has waited the longest try again.

        One is enough: each that waits has a request, whose end wakes the next.
        """
        while self._waiting and self.may_read(0):
            released = self._waiting.popleft()
            if not released.done():
                released.set_result(None)
                return


def unlimited_read_ahead() -> ReadAhead:
    """Return what admits all requests, outside of a host's memory."""
    return ReadAhead(unlimited_memory())
