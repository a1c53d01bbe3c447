"""Answers of one connection that wait to be written."""

from __future__ import annotations

import asyncio

from foxtailreach.gateway.http_types import (
    CallerAnswer,
    CallerRequest,
    find_header,
)


class PendingAnswer:
    """An answer that a task will produce, or one that exists already."""

    __slots__ = ('_answer', '_task', 'request')

    def __init__(
        self,
        request: CallerRequest | None,
        task: asyncio.Task[CallerAnswer] | None,
        answer: CallerAnswer | None = None,
    ) -> None:
        """Wait for a task, unless there is an answer."""
        self.request = request
        self._task = task
        self._answer = answer

    @property
    def is_head(self) -> bool:
        """Whether the answer must have no body."""
        return self.request is not None and self.request.method == b'HEAD'

    async def answer(self) -> CallerAnswer:
        """Wait for the answer and return it."""
        if self._answer is not None:
            return self._answer
        assert self._task is not None
        return await self._task


def rejected_answer(answer: CallerAnswer) -> PendingAnswer:
    """Return an answer to a request that was not read."""
    return PendingAnswer(None, None, answer)


def wants_close(request: CallerRequest) -> bool:
    """Whether the caller asks to close the connection after the answer."""
    return b'close' in find_header(request.headers, b'connection').lower()
