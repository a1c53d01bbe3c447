"""Bounds the connections of callers, below the descriptors of a host."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol, TypeVar

from loguru import logger

from foxtailreach.core.caller_connections import (
    AddressCounts,
    ConnectionState,
    max_connections,
)
from foxtailreach.core.units import SECOND_US
from foxtailreach.core.verdict import Reason, Verdict
from foxtailreach.gateway.http_types import refusal
from foxtailreach.gateway.logs import IntervalLimiter

LOG_INTERVAL_US = 5 * SECOND_US
REFUSAL_RETRY_US = SECOND_US

ConnectionT = TypeVar('ConnectionT', bound='Connection')

_lines = IntervalLimiter(LOG_INTERVAL_US)


class Connection(Protocol):
    """An open connection of a caller."""

    address: str

    def unserved_state(self) -> ConnectionState | None:
        """Return its state, or None while a request is to be answered."""

    def close(self) -> None:
        """Close the connection."""


class CallerLimit:
    """Makes room for new connections, or refuses them."""

    __slots__ = ('_addresses', '_max_connections', 'closed', 'refused')

    def __init__(self, max_connections: int) -> None:
        """Start without connections."""
        self._addresses = AddressCounts()
        self._max_connections = max_connections
        self.closed = 0
        self.refused = 0

    @classmethod
    def from_descriptors(cls, max_descriptors: int) -> CallerLimit:
        """Leave descriptors for files, targets and hosts."""
        return cls(max_connections(max_descriptors))

    def admit(self, address: str, connections: set[ConnectionT]) -> bool:
        """Count a new connection; False if there is no room for it."""
        if len(connections) >= self._max_connections:
            self._make_room(address, connections)
        if len(connections) >= self._max_connections:
            self.refused += 1
            self._log(address, 'a connection was refused')
            return False
        self._addresses.add(address)
        return True

    def remove(self, address: str) -> None:
        """Count a closed connection."""
        self._addresses.remove(address)

    def _make_room(self, address: str, connections: set[ConnectionT]) -> None:
        by_key = {id(connection): connection for connection in connections}
        states = _unserved_states(connections)
        for key in self._addresses.choose_victims(address, states):
            victim = by_key[key]
            self.closed += 1
            self._log(victim.address, 'a connection was closed for another one')
            connections.discard(victim)
            self.remove(victim.address)
            victim.close()

    def _log(self, address: str, text: str) -> None:
        if _lines.allow():
            logger.bind(
                address=address,
                closed=self.closed,
                refused=self.refused,
                lines_left_out=_lines.take_left_out(),
            ).warning(text)


def refusal_bytes() -> bytes:
    """Return the answer to a connection that is refused before it is read."""
    answer = refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Verdict.NOT_RUN,
        Reason.OVERLOAD,
        REFUSAL_RETRY_US,
    )
    headers = [
        *answer.headers,
        (b'content-length', str(len(answer.body)).encode()),
        (b'connection', b'close'),
    ]
    lines = b''.join(b'%s: %s\r\n' % header for header in headers)
    return b'HTTP/1.1 503 %s\r\n%s\r\n%s' % (
        answer.phrase,
        lines,
        answer.body,
    )


def _unserved_states(
    connections: Iterable[Connection],
) -> list[ConnectionState]:
    states = (connection.unserved_state() for connection in connections)
    return [state for state in states if state is not None]
