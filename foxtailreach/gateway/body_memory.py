"""Bounds the memory for request bodies over all connections of a host.

When it is used up, the largest body that is still arriving is refused before a
smaller one is.
"""

from __future__ import annotations

from collections.abc import Callable

from foxtailreach.gateway.host_memory import HostMemory, unlimited_memory

# A body is held twice for a moment, when its parts are joined.
BODY_COPIES = 2
# Memory is reserved as a body arrives, in steps of at least this size.
MIN_STEP_BYTES = 65_536


class BodyBudget:
    """Bounds the memory for request bodies over all connections of a host.

    It is a part of the host's memory, which has a limit of its own.
    """

    __slots__ = ('_arriving', '_limit_bytes', 'held_bytes', 'host', 'refused')

    def __init__(
        self, limit_bytes: int, host: HostMemory | None = None
    ) -> None:
        """Start without bodies."""
        self._limit_bytes = limit_bytes
        self._arriving: set[HeldBody] = set()
        self.host = unlimited_memory() if host is None else host
        self.host.register(self)
        self.held_bytes = 0
        self.refused = 0

    def fits(self, size_bytes: int) -> bool:
        """Whether there is memory for a body now."""
        held_bytes = size_bytes * BODY_COPIES
        fits_here = self.held_bytes + held_bytes <= self._limit_bytes
        return fits_here and self.host.fits(held_bytes)

    def may_fit(self, size_bytes: int, own_bytes: int) -> bool:
        """Whether there may be memory if those that hold more give way."""
        held_bytes = size_bytes * BODY_COPIES
        sizes = (body.held_bytes for body in self._arriving)
        larger_bytes = sum(size for size in sizes if size > own_bytes)
        held_by_others = self.held_bytes - larger_bytes
        fits_here = held_by_others + held_bytes <= self._limit_bytes
        return fits_here and self.host.may_make_room(held_bytes, own_bytes)

    def reserve(self, size_bytes: int, own_bytes: int = 0) -> bool:
        """Reserve memory for a body; return False if there is not enough.

        Those that hold more than `own_bytes`, with what is reserved here, give
        way. With 0, nobody does.
        """
        held_bytes = size_bytes * BODY_COPIES
        while own_bytes and self.held_bytes + held_bytes > self._limit_bytes:
            if self.largest_bytes() <= own_bytes:
                return False
            self.give_up_largest()
        if own_bytes:
            self.host.make_room(held_bytes, own_bytes)
        if not self.fits(size_bytes):
            return False
        self.held_bytes += held_bytes
        self.host.hold(held_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Release the memory for a body."""
        self.held_bytes -= size_bytes * BODY_COPIES
        self.host.release(size_bytes * BODY_COPIES)

    def start_arrival(self, body: HeldBody) -> None:
        """Let a body be refused for smaller ones from now on."""
        self._arriving.add(body)

    def end_arrival(self, body: HeldBody) -> None:
        """Keep a body until its request was served."""
        self._arriving.discard(body)

    def largest_bytes(self) -> int:
        """Return the size of the largest body that is arriving."""
        return max((body.held_bytes for body in self._arriving), default=0)

    def give_up_largest(self) -> None:
        """Refuse the largest body that is arriving."""
        self.refused += 1
        max(self._arriving, key=lambda body: body.held_bytes).refuse()


class HeldBody:
    """Memory for the body of one request.

    It grows with the bytes that arrive, so that a caller that announces a large
    body and sends little of it holds little. `is_refused` tells that it had to
    give way to others.
    """

    __slots__ = ('_budget', '_on_refuse', '_reserved_bytes', 'is_refused')

    def __init__(self, budget: BodyBudget) -> None:
        """Hold nothing."""
        self._budget = budget
        self._reserved_bytes = 0
        self._on_refuse: Callable[[], None] | None = None
        self.is_refused = False

    @property
    def held_bytes(self) -> int:
        """Memory that is reserved."""
        return self._reserved_bytes * BODY_COPIES

    def start_arrival(self, on_refuse: Callable[[], None]) -> None:
        """Let the body give way to others; `on_refuse` must free it."""
        self._on_refuse = on_refuse
        self._budget.start_arrival(self)

    def end_arrival(self) -> None:
        """Keep the body until the memory is released."""
        self._on_refuse = None
        self._budget.end_arrival(self)

    def refuse(self) -> None:
        """Give up a body that is arriving."""
        self.is_refused = True
        on_refuse = self._on_refuse
        self.release()
        if on_refuse is not None:
            on_refuse()

    def may_fit(self, size_bytes: int) -> bool:
        """Whether a body of a size may be received, as far as is known now."""
        return self._budget.may_fit(
            size_bytes - self._reserved_bytes, size_bytes * BODY_COPIES
        )

    def grow(self, received_bytes: int, announced_bytes: int) -> bool:
        """Hold what was received; return False if there is not enough.

        Reserves in steps that double, up to the announced size if there is one.
        """
        if self.is_refused:
            return False
        missing_bytes = received_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        step_bytes = max(missing_bytes, MIN_STEP_BYTES, self._reserved_bytes)
        step_bytes = min(
            step_bytes,
            max(received_bytes, announced_bytes) - self._reserved_bytes,
        )
        own_bytes = (self._reserved_bytes + step_bytes) * BODY_COPIES
        if not self._budget.reserve(step_bytes, own_bytes):
            return False
        self._reserved_bytes += step_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Keep only the memory of a complete body."""
        self._budget.release(self._reserved_bytes - size_bytes)
        self._reserved_bytes = size_bytes

    def release(self) -> None:
        """Release all memory; may be called several times."""
        self.end_arrival()
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0


def unlimited_body() -> HeldBody:
    """Return memory for a body outside of a host's memory."""
    return HeldBody(BodyBudget(2**62))
