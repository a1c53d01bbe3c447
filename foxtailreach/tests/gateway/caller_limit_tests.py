"""Tests of the bound on the connections of callers."""

from __future__ import annotations

import pytest

from foxtailreach.core.caller_connections import (
    AddressCounts,
    ConnectionState,
    max_connections,
)
from foxtailreach.gateway.caller_limit import refusal_bytes


@pytest.mark.parametrize(
    ('max_descriptors', 'expected'),
    [(4100, 2925), (8192, 5994), (300, 75), (0, 16)],
)
def test_callers_leave_descriptors_for_others(
    max_descriptors: int, expected: int
) -> None:
    assert max_connections(max_descriptors) == expected


def state(key: int, address: str, idle_since_us: int = -1) -> ConnectionState:
    is_idle = idle_since_us >= 0
    return ConnectionState(key, address, is_idle, abs(idle_since_us))


@pytest.mark.parametrize(
    ('newcomer', 'unserved', 'victims'),
    [
        # Nothing but requests of a load balancer: the new one is refused.
        ('lb', [state(1, 'lb'), state(2, 'lb')], []),
        ('lb', [], []),
        # The longest idle connection goes first.
        ('lb', [state(1, 'lb', 5), state(2, 'lb', 3), state(3, 'lb')], [2]),
        # An idle one of the address with the most connections goes first.
        ('b', [state(1, 'b', 3), state(2, 'a', 5), state(3, 'a')], [2]),
        # Without idle ones, that address loses an arriving request.
        ('b', [state(1, 'a'), state(2, 'a'), state(3, 'a')], [1]),
        ('a', [state(1, 'a'), state(2, 'a'), state(3, 'b')], []),
    ],
)
def test_connection_that_gives_way(
    newcomer: str, unserved: list[ConnectionState], victims: list[int]
) -> None:
    """Guards against callers that shut out others by open connections."""
    counts = AddressCounts()
    for one in unserved:
        counts.add(one.address)
    assert counts.choose_victims(newcomer, unserved) == victims


def test_refusal_tells_that_the_request_has_not_run() -> None:
    head, _, body = refusal_bytes().partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503 Service Unavailable\r\n')
    assert b'retry-after: 1.00' in head
    assert b'connection: close' in head
    assert b'"not-run"' in body
