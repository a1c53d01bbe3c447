"""Bounds the memory for request bodies over all connections of a host."""

from __future__ import annotations

# A body is held twice for a moment, when its parts are joined.
BODY_COPIES = 2
# Memory is reserved as a body arrives, in steps of at least this size.
MIN_STEP_BYTES = 65_536


class BodyBudget:
    """Bounds the memory for request bodies over all connections of a host."""

    __slots__ = ('_limit_bytes', 'held_bytes')

    def __init__(self, limit_bytes: int) -> None:
        """Start without bodies."""
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def fits(self, size_bytes: int) -> bool:
        """Whether there is memory for a body now."""
        return self.held_bytes + size_bytes * BODY_COPIES <= self._limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for a body; return False if there is not enough."""
        if not self.fits(size_bytes):
            return False
        self.held_bytes += size_bytes * BODY_COPIES
        return True

    def release(self, size_bytes: int) -> None:
        """Release the memory for a body."""
        self.held_bytes -= size_bytes * BODY_COPIES


class HeldBody:
    """Memory for the body of one request.

    It grows with the bytes that arrive, so that a caller that announces a large
    body and sends little of it holds little.
    """

    __slots__ = ('_budget', '_reserved_bytes')

    def __init__(self, budget: BodyBudget) -> None:
        """Hold nothing."""
        self._budget = budget
        self._reserved_bytes = 0

    def fits(self, size_bytes: int) -> bool:
        """Whether there is memory for a body of a size now."""
        return self._budget.fits(size_bytes - self._reserved_bytes)

    def grow(self, received_bytes: int, announced_bytes: int) -> bool:
        """Hold what was received; return False if there is not enough.

        Reserves in steps that double, up to the announced size if there is one.
        """
        missing_bytes = received_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        step_bytes = max(missing_bytes, MIN_STEP_BYTES, self._reserved_bytes)
        step_bytes = min(
            step_bytes,
            max(received_bytes, announced_bytes) - self._reserved_bytes,
        )
        if not self._budget.reserve(step_bytes):
            return False
        self._reserved_bytes += step_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Keep only the memory of a complete body."""
        self._budget.release(self._reserved_bytes - size_bytes)
        self._reserved_bytes = size_bytes

    def release(self) -> None:
        """Release all memory; may be called several times."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0


def unlimited_body() -> HeldBody:
    """Return memory for a body outside of a host's memory."""
    return HeldBody(BodyBudget(2**62))
