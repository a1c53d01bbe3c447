"""Decides which connection of a caller gives way when a host has no more.

Load pattern: callers open many connections and send nothing on them, or never
end the head of a request. Connections that wait for an answer are never closed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

# Descriptors that are reserved for files.
FILE_DESCRIPTORS = 200
# Share of the others that callers may use; targets and hosts use the rest.
CALLER_SHARE = 0.75
MIN_CONNECTIONS = 16
# Of the rest, for hosts, the store and who asks for readiness or metrics.
HOST_DESCRIPTORS = 10
MIN_TARGET_CONNECTIONS = 8
# Requests ahead may use this share of the connections to targets.
REQUESTS_AHEAD_SHARE = 0.125
MIN_REQUESTS_AHEAD = 4
# One in so many idle connections is closed at a time, so that the choice is not
# made for each new connection.
VICTIMS_SHARE = 32


@dataclass(slots=True, frozen=True)
class ConnectionState:
    """An open connection: its address, and what it does since when.

    `is_idle` tells that no request has begun; otherwise one is arriving.
    """

    key: int
    address: str
    is_idle: bool
    since_us: int


def max_connections(max_descriptors: int) -> int:
    """Return the bound on the connections of callers of a host."""
    usable = max_descriptors - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(usable * CALLER_SHARE))


def max_target_connections(max_descriptors: int) -> int:
    """Return the bound on the connections to targets of a host."""
    usable = max_descriptors - FILE_DESCRIPTORS
    left = usable - max_connections(max_descriptors) - HOST_DESCRIPTORS
    return max(MIN_TARGET_CONNECTIONS, left)


def max_requests_ahead(max_descriptors: int) -> int:
    """Return how many requests a host reads ahead of earlier answers."""
    connections = max_target_connections(max_descriptors)
    return max(MIN_REQUESTS_AHEAD, int(connections * REQUESTS_AHEAD_SHARE))


class AddressCounts:
    """Open connections by the address of their caller."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start without connections."""
        self._counts: Counter[str] = Counter()

    def add(self, address: str) -> None:
        """Count an opened connection."""
        self._counts[address] += 1

    def remove(self, address: str) -> None:
        """Count a closed connection."""
        self._counts[address] -= 1
        if not self._counts[address]:
            del self._counts[address]

    def choose_victims(
        self, newcomer: str, unserved: Sequence[ConnectionState]
    ) -> list[int]:
        """Return the connections to close for a new one; none to refuse it.

        `unserved` are the connections without a request to be answered. Idle
        ones go first, of the address with the most connections, the longest
        idle first. One with an arriving request gives way only to an address
        with fewer connections: behind a load balancer, whose address stands for
        all callers, it never does.
        """
        candidates = [
            state
            for state in unserved
            if state.is_idle
            or self._counts[state.address] > self._counts[newcomer] + 1
        ]
        candidates.sort(key=self._rank)
        idle = [state for state in candidates if state.is_idle]
        most = max(1, len(unserved) // VICTIMS_SHARE)
        return [state.key for state in idle[:most] or candidates[:1]]

    def _rank(self, state: ConnectionState) -> tuple[bool, int, int]:
        count = self._counts[state.address]
        return (not state.is_idle, -count, state.since_us)
