"""Offsets of removals, which are kept for deltas."""

from __future__ import annotations

# Removed keys that are kept; hosts with an older replica get a whole copy.
MAX_TOMBSTONES = 2000


class Tombstones:
    """The removed keys, with the offset of their removal or a later one."""

    __slots__ = ('_offsets',)

    def __init__(self) -> None:
        """Start without removals."""
        self._offsets: dict[str, int] = {}

    def clear(self) -> None:
        """Forget all removals."""
        self._offsets.clear()

    def discard(self, key: str) -> None:
        """Forget the removal of a key."""
        self._offsets.pop(key, None)

    def since(self, offset: int) -> tuple[str, ...]:
        """Return the keys that were removed at an offset or later."""
        return tuple(key for key, at in self._offsets.items() if at >= offset)

    def add(self, key: str, offset: int) -> int:
        """Keep a removal; return since when all removals are known."""
        self._offsets[key] = offset
        if len(self._offsets) <= MAX_TOMBSTONES:
            return 0
        oldest = min(self._offsets, key=self._offsets.__getitem__)
        return self._offsets.pop(oldest) + 1
