"""Requests of one connection that were read and not answered yet."""

from __future__ import annotations

import asyncio


class Backlog:
    """Counts unanswered requests, and tells when none is left."""

    __slots__ = ('_is_empty', 'count')

    def __init__(self) -> None:
        """Start without requests."""
        self.count = 0
        self._is_empty = asyncio.Event()
        self._is_empty.set()

    def add(self) -> None:
        """Count a request that was read."""
        self.count += 1
        self._is_empty.clear()

    def remove(self) -> None:
        """Count a request that was answered."""
        self.count -= 1
        if not self.count:
            self._is_empty.set()

    def clear(self) -> None:
        """Forget all requests, as their connection ends."""
        self.count = 0
        self._is_empty.set()

    async def wait_until_empty(self) -> None:
        """Wait until every request is answered."""
        await self._is_empty.wait()
