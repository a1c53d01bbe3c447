"""Shares a host's connections to targets between services."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from foxtailreach.core.caller_connections import max_target_connections

UNLIMITED_CONNECTIONS = 2**31


class TargetLimit:
    """Bounds the requests that are at targets, below the descriptors.

    Load pattern: callers send many requests to a slow service. A service may
    use at most as many connections as are free, so that others find some.
    """

    __slots__ = ('_in_use', 'in_use', 'max_connections')

    def __init__(self, max_connections: int = UNLIMITED_CONNECTIONS) -> None:
        """Start without requests."""
        self.max_connections = max_connections
        self._in_use: Counter[str] = Counter()
        self.in_use = 0

    @classmethod
    def from_descriptors(cls, max_descriptors: int) -> TargetLimit:
        """Leave descriptors for files, callers and hosts."""
        return cls(max_target_connections(max_descriptors))

    def has_room(self, service: str) -> bool:
        """Whether a service may use one more connection now."""
        return self._in_use[service] < self.max_connections - self.in_use

    @contextmanager
    def use(self, service: str) -> Iterator[None]:
        """Count a request that is at a target of a service."""
        self._in_use[service] += 1
        self.in_use += 1
        try:
            yield
        finally:
            self._remove(service)

    def _remove(self, service: str) -> None:
        self.in_use -= 1
        self._in_use[service] -= 1
        if not self._in_use[service]:
            del self._in_use[service]
