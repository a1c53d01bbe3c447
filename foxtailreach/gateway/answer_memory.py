"""Bounds the memory for answers over all requests of a host.

Load pattern: targets in trouble send bytes without end to many requests at
once, or many callers do not read their answers. When the memory is used up, the
target or caller that holds the most loses its largest answer, so that the
answers of others go on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Iterator

from loguru import logger

from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway.host_memory import HostMemory, unlimited_memory
from foxtailreach.gateway.logs import IntervalLimiter

LOG_INTERVAL_US = 5 * SECOND_US
_UNLIMITED_BYTES = 2**62

_evicted_lines = IntervalLimiter(LOG_INTERVAL_US)


class HeldAnswer:
    """Memory for the answers to one request.

    `owner` is the target that sends the answer, then the caller that is to read
    it. `on_evict` is called when the memory is needed for others; without it,
    the answer is not evicted.
    """

    __slots__ = (
        '_is_closed',
        '_memory',
        'is_evicted',
        'on_evict',
        'owner',
        'size_bytes',
    )

    def __init__(self, memory: AnswerMemory) -> None:
        """Hold nothing."""
        self._memory = memory
        self._is_closed = False
        self.size_bytes = 0
        self.is_evicted = False
        self.owner: Hashable = None
        self.on_evict: Callable[[], None] | None = None

    def assign(self, owner: Hashable, on_evict: Callable[[], None]) -> None:
        """Pass the memory to an owner, which may use it again if evicted."""
        self.owner = owner
        self.on_evict = on_evict
        self.is_evicted = self._is_closed

    def grow(self, size_bytes: int) -> bool:
        """Hold more memory; return False if this answer was evicted."""
        return self._memory.grow(self, size_bytes)

    def end_receipt(self, kept_bytes: int) -> None:
        """Keep only a part of the memory; this answer is not evicted now."""
        self.on_evict = None
        self._memory.shrink(self, self.size_bytes - kept_bytes)

    def close(self) -> None:
        """Return all memory; the answer cannot grow any more."""
        self.on_evict = None
        self._is_closed = True
        self._memory.evict(self)


class AnswerMemory:
    """The answers that are being received or sent, and their limit.

    They are a part of the host's memory, which has a limit of its own.
    """

    __slots__ = ('_answers', '_host', '_limit_bytes', 'evicted', 'held_bytes')

    def __init__(
        self, limit_bytes: int, host: HostMemory | None = None
    ) -> None:
        """Start without answers."""
        self._limit_bytes = limit_bytes
        self._host = unlimited_memory() if host is None else host
        self._host.register(self)
        self._answers: set[HeldAnswer] = set()
        self.held_bytes = 0
        self.evicted = 0

    def open(self) -> HeldAnswer:
        """Return an empty answer; the caller must close it."""
        return HeldAnswer(self)

    def grow(self, answer: HeldAnswer, size_bytes: int) -> bool:
        """Hold more memory; return False if this answer was evicted."""
        if answer.is_evicted:
            return False
        self._answers.add(answer)
        answer.size_bytes += size_bytes
        self.held_bytes += size_bytes
        self._host.hold(size_bytes)
        while self.held_bytes > self._limit_bytes:
            self._give_up(self._choose_victim() or answer)
        if not self._host.relieve():
            self._give_up(answer)
        return not answer.is_evicted

    def largest_bytes(self) -> int:
        """Return what the owner holds that holds the most."""
        _, held_bytes = self._largest_owner()
        return held_bytes

    def give_up_largest(self) -> None:
        """Evict the largest answer of this owner."""
        victim = self._choose_victim()
        if victim is not None:
            self._give_up(victim)

    def shrink(self, answer: HeldAnswer, size_bytes: int) -> None:
        """Return a part of the memory."""
        returned_bytes = max(0, min(size_bytes, answer.size_bytes))
        answer.size_bytes -= returned_bytes
        self.held_bytes -= returned_bytes
        self._host.release(returned_bytes)
        if not answer.size_bytes:
            self._answers.discard(answer)

    def evict(self, answer: HeldAnswer) -> None:
        """Take back all memory of an answer."""
        self.shrink(answer, answer.size_bytes)
        answer.is_evicted = True
        on_evict, answer.on_evict = answer.on_evict, None
        if on_evict is not None:
            on_evict()

    def _choose_victim(self) -> HeldAnswer | None:
        """Return the largest answer of the owner that holds the most."""
        owner, held_bytes = self._largest_owner()
        if not held_bytes:
            return None
        return max(
            (answer for answer in self._candidates() if answer.owner == owner),
            key=lambda answer: answer.size_bytes,
        )

    def _largest_owner(self) -> tuple[Hashable, int]:
        """Return who holds the most that can be evicted, and how much."""
        held_bytes: Counter[Hashable] = Counter()
        for answer in self._candidates():
            held_bytes[answer.owner] += answer.size_bytes
        if not held_bytes:
            return None, 0
        return held_bytes.most_common(1)[0]

    def _candidates(self) -> Iterator[HeldAnswer]:
        """Return the answers that can be evicted."""
        return (one for one in self._answers if one.on_evict is not None)

    def _give_up(self, victim: HeldAnswer) -> None:
        self._log_eviction(victim)
        self.evict(victim)

    def _log_eviction(self, victim: HeldAnswer) -> None:
        self.evicted += 1
        if _evicted_lines.allow():
            logger.bind(
                owner=str(victim.owner),
                size_bytes=victim.size_bytes,
                held_bytes=self.held_bytes,
                lines_left_out=_evicted_lines.take_left_out(),
            ).warning('an answer was given up, as the memory is used up')


def unlimited_answer() -> HeldAnswer:
    """Return an answer that is never evicted, outside of a host's memory."""
    return AnswerMemory(_UNLIMITED_BYTES).open()
