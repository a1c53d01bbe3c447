"""Counts all that a host holds for its callers, against one limit.

Load pattern: some callers make a host hold much. When the limit is reached, the
largest body or answer is given up before smaller requests are refused.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# A request that needs more than this leaves a share of the limit to others.
SMALL_REQUEST_BYTES = 65_536
LARGE_REQUEST_SHARE = 0.75
# A connection with its stream and tasks.
CONNECTION_BYTES = 8192
# A request that is served, without its head: its tasks, trace and slot.
REQUEST_BYTES = 16_384
# A head is held as received, and once more as parsed headers.
HEAD_COPIES = 2
HEADER_BYTES = 320


class MemoryHolder(Protocol):
    """Memory of one kind, of which a part can be given up for others."""

    def largest_bytes(self) -> int:
        """Return the most that one owner holds and can give up."""

    def give_up_largest(self) -> None:
        """Give up something of this owner."""


class HostMemory:
    """What a host holds for its callers, in bytes, and the limit for it.

    `on_release` is called when memory was returned.
    """

    __slots__ = ('_holders', 'held_bytes', 'limit_bytes', 'on_release')

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self._holders: list[MemoryHolder] = []
        self.held_bytes = 0
        self.on_release: Callable[[], None] | None = None

    def register(self, holder: MemoryHolder) -> None:
        """Let a kind of memory give way when the limit is reached."""
        self._holders.append(holder)

    def hold(self, size_bytes: int) -> None:
        """Count memory, also beyond the limit."""
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Return memory."""
        self.held_bytes -= size_bytes
        if self.on_release is not None:
            self.on_release()

    def fits(self, size_bytes: int) -> bool:
        """Whether there is memory now."""
        return self.held_bytes + size_bytes <= self.limit_bytes

    def may_make_room(self, size_bytes: int, own_bytes: int) -> bool:
        """Whether there is memory, or somebody holds more than `own_bytes`."""
        return self.fits(size_bytes) or self._largest_bytes() > own_bytes

    def make_room(self, size_bytes: int, own_bytes: int) -> bool:
        """Let those that hold more than `own_bytes` give way.

        Return False if there is no room, as nobody holds more.
        """
        while not self.fits(size_bytes):
            if not self._give_up(own_bytes):
                return False
        return True

    def admit_request(self, size_bytes: int) -> bool:
        """Make room for a request and hold its memory; False if none is left.

        Those that need little can use what is closed to the others.
        """
        reserved_bytes = 0
        if size_bytes > SMALL_REQUEST_BYTES:
            reserved_bytes = int(self.limit_bytes * (1 - LARGE_REQUEST_SHARE))
        if not self.make_room(size_bytes + reserved_bytes, size_bytes):
            return False
        self.hold(size_bytes)
        return True

    def relieve(self) -> bool:
        """Let the largest give way until the limit is kept.

        Return False if nothing is left to be given up.
        """
        return self.make_room(0, 0)

    def _give_up(self, own_bytes: int) -> bool:
        """Give up something of the largest owner, if it holds more."""
        if self._largest_bytes() <= own_bytes:
            return False
        max(
            self._holders, key=lambda holder: holder.largest_bytes()
        ).give_up_largest()
        return True

    def _largest_bytes(self) -> int:
        sizes = (holder.largest_bytes() for holder in self._holders)
        return max(sizes, default=0)


def request_bytes(head: bytes | bytearray) -> int:
    """Return what a request with a head takes while it is served."""
    lines = head.count(b'\n')
    return REQUEST_BYTES + HEAD_COPIES * len(head) + HEADER_BYTES * lines


def unlimited_memory() -> HostMemory:
    """Return memory without a limit, for requests outside of a host."""
    return HostMemory(2**62)
