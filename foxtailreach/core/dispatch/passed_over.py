"""Bounds the search for a target over many waiting requests.

Load pattern: thousands of requests wait while the only free slots are those of
failing targets, which no request takes at first. Choosing a target for each of
them at each event would take most of a core.
"""

from __future__ import annotations

from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.placement import (
    PROVEN_WAIT_US,
    PlacementRequest,
)

# A request waits for at most 150 ms for a better target, so that those behind
# it are reached after that time.
MAX_PASSED_OVER = 64

_Need = tuple[tuple[str, RequestKind], tuple[bool, ...], frozenset[str]]


class PassedOver:
    """The waiting requests that no target suits in one pass over a queue."""

    __slots__ = ('_count', '_needs')

    def __init__(self) -> None:
        """Create a record of a pass that has just begun."""
        self._count = 0
        self._needs: set[_Need] = set()

    @property
    def is_full(self) -> bool:
        """Whether the pass should end."""
        return self._count >= MAX_PASSED_OVER

    def add(self, request: PlacementRequest) -> None:
        """Record that no target suits a request."""
        self._count += 1
        self._needs.add(_need(request))

    def covers(self, request: PlacementRequest) -> bool:
        """Tell whether no target suited an equal request in this pass."""
        return _need(request) in self._needs


def _need(request: PlacementRequest) -> _Need:
    """Return what determines whether any target suits a request."""
    waits_for_proven = request.waited_us < PROVEN_WAIT_US
    return (
        (request.domain, request.kind),
        (request.may_repeat, request.may_probe, waits_for_proven),
        request.excluded,
    )
