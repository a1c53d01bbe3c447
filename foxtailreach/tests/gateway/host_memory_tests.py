"""Tests of the account of a host's memory, and of who gives way."""

from __future__ import annotations

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from foxtailreach.gateway.answer_memory import AnswerMemory
from foxtailreach.gateway.body_memory import BODY_COPIES, BodyBudget, HeldBody
from foxtailreach.gateway.host_memory import SMALL_REQUEST_BYTES, HostMemory

LIMIT_BYTES = 10_000_000
BODIES = st.integers(0, 4)
STEPS = st.one_of(
    st.tuples(st.just('body'), BODIES, st.integers(0, 3_000_000)),
    st.tuples(st.just('complete'), BODIES, st.just(0)),
    st.tuples(st.just('release'), BODIES, st.just(0)),
    st.tuples(st.just('answer'), BODIES, st.integers(0, 4_000_000)),
    st.tuples(st.just('sent'), BODIES, st.just(0)),
    st.tuples(st.just('request'), BODIES, st.integers(0, 200_000)),
)


class Held:
    """A host's memory with bodies and answers in it."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        """Start with nothing held."""
        self.memory = HostMemory(limit_bytes)
        self.bodies = BodyBudget(limit_bytes, self.memory)
        self.answers = AnswerMemory(limit_bytes, self.memory)
        self.given_up: list[str] = []

    def body(self, name: str, size_bytes: int = 0) -> HeldBody:
        """Return a body that is arriving."""
        body = HeldBody(self.bodies)
        body.start_arrival(lambda: self.given_up.append(name))
        assert body.grow(size_bytes, size_bytes)
        return body

    def answer(self, name: str, size_bytes: int) -> None:
        """Hold an answer that waits for its caller."""
        answer = self.answers.open()
        answer.assign(name, lambda: self.given_up.append(name))
        assert answer.grow(size_bytes)


@hypothesis.given(st.lists(STEPS, max_size=40))
def test_limit_is_kept_and_all_is_returned(
    steps: list[tuple[Any, ...]],
) -> None:
    held = Held()
    bodies = [HeldBody(held.bodies) for _ in range(5)]
    answers = [held.answers.open() for _ in range(5)]
    received_bytes = [0] * 5
    requests_bytes = 0
    for action, index, number in steps:
        body, answer = bodies[index], answers[index]
        match action:
            case 'body':
                body.start_arrival(lambda: None)
                received_bytes[index] += number
                body.grow(received_bytes[index], 0)
            case 'complete':
                body.end_arrival()
            case 'release':
                body.release()
                body.is_refused = False
                received_bytes[index] = 0
            case 'answer':
                answer.assign(index, lambda: None)
                answer.grow(number)
            case 'sent':
                answer.end_receipt(0)
            case 'request':
                requests_bytes += number * held.memory.admit_request(number)
        parts = held.bodies.held_bytes + held.answers.held_bytes
        assert held.memory.held_bytes == parts + requests_bytes
        assert held.memory.held_bytes <= LIMIT_BYTES
    for body, answer in zip(bodies, answers, strict=True):
        body.release()
        answer.close()
    held.memory.release(requests_bytes)
    assert not held.memory.held_bytes


@pytest.mark.parametrize(
    ('arriving', 'unread', 'claimed_bytes', 'given_up'),
    [
        # Nobody has to give way.
        ({'a': 300_000}, {'b': 300_000}, 100_000, []),
        # The one that holds the most does, whatever it holds.
        ({'a': 400_000}, {'b': 600_000}, 100_000, ['a']),
        ({'a': 200_000}, {'b': 600_000, 'c': 50_000}, 100_000, ['b']),
        # Nobody holds more than the one that asks.
        ({'a': 200_000}, {'b': 300_000, 'c': 300_000}, 450_000, None),
        # One holds just as much.
        ({'a': 150_000}, {'b': 290_000, 'c': 400_000}, 400_000, None),
    ],
)
def test_who_holds_the_most_gives_way_to_a_body(
    arriving: dict[str, int],
    unread: dict[str, int],
    claimed_bytes: int,
    given_up: list[str] | None,
) -> None:
    """Guards against callers that are refused for what others hold."""
    held = Held(1_000_000)
    for name, size_bytes in arriving.items():
        held.body(name, size_bytes)
    for name, size_bytes in unread.items():
        held.answer(name, size_bytes)
    newcomer = HeldBody(held.bodies)
    newcomer.start_arrival(lambda: held.given_up.append('newcomer'))
    size_bytes = claimed_bytes // BODY_COPIES
    assert newcomer.grow(size_bytes, size_bytes) is (given_up is not None)
    assert held.given_up == (given_up or [])


def test_small_requests_use_what_is_closed_to_large_ones() -> None:
    held = Held()
    large_bytes = 16 * SMALL_REQUEST_BYTES
    admitted = 0
    while held.memory.admit_request(large_bytes):
        admitted += 1
    assert admitted == int(LIMIT_BYTES * 0.75) // large_bytes
    assert held.memory.admit_request(SMALL_REQUEST_BYTES)


def test_body_that_gave_way_cannot_grow_again() -> None:
    held = Held(1_000_000)
    body = held.body('a', 400_000)
    assert held.memory.admit_request(300_000)
    assert body.is_refused
    assert not body.grow(1, 0)
    assert held.memory.held_bytes == 300_000
