"""A long poll that is given up once it is known to be lost."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.daemon.clock import boot_time_us

# The store answers within this time after the wait of a poll has passed.
ANSWER_DELAY_US = 100 * MILLISECOND_US


class LongPoll:
    """The poll that is in flight, at most one."""

    __slots__ = ('_call', '_due_us', '_is_abandoned', '_sent_us')

    def __init__(self) -> None:
        """Start without a poll."""
        self._sent_us = 0
        self._due_us = 0
        self._is_abandoned = False
        self._call: asyncio.Task[None] | None = None

    async def run(self, call: Coroutine[Any, Any, None], wait_us: int) -> None:
        """Run a poll until it is answered or abandoned."""
        self._sent_us = boot_time_us()
        self._due_us = self._sent_us + wait_us + ANSWER_DELAY_US
        self._is_abandoned = False
        self._call = asyncio.create_task(call)
        try:
            await self._call
        except asyncio.CancelledError:
            if not self._is_abandoned:
                raise
        finally:
            self._call = None

    def record_answer(self, sent_us: int, *, is_return: bool) -> None:
        """Abandon the poll if the answer to a later call shows it as lost.

        It is lost if the store did not answer before (`is_return`), or if the
        other call was sent after the answer to the poll was due.
        """
        is_own = self._call is asyncio.current_task()
        if self._call is None or is_own or sent_us <= self._sent_us:
            return
        if is_return or sent_us > self._due_us:
            self._is_abandoned = True
            self._call.cancel()
