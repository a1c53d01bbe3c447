"""Memory for answers under any order of growth, eviction and ends."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.gateway.answer_memory import AnswerMemory, HeldAnswer
from foxtailreach.gateway.upstream import Upstream
from foxtailreach.tests.gateway.endless_answer_tests import (
    ENDLESS,
    EndlessTarget,
)
from foxtailreach.tests.gateway.upstream_tests import (
    HEADER_NAMES,
    OK,
    reply_with,
    request,
    send,
    target,
)

LIMIT_BYTES = 1000
ANSWERS = st.integers(0, 5)
STEPS = st.one_of(
    st.tuples(st.just('grow'), ANSWERS, st.integers(0, 600)),
    st.tuples(st.just('assign'), ANSWERS, st.integers(0, 2)),
    st.tuples(st.just('end'), ANSWERS, st.integers(0, 600)),
    st.tuples(st.just('close'), ANSWERS, st.just(0)),
)


@hypothesis.given(st.lists(STEPS, max_size=40))
def test_memory_is_bounded_and_all_returned(
    steps: list[tuple[Any, ...]],
) -> None:
    memory = AnswerMemory(LIMIT_BYTES)
    answers = [memory.open() for _ in range(6)]
    for action, index, number in steps:
        answer = answers[index]
        match action:
            case 'grow':
                assert answer.grow(number) is not answer.is_evicted
            case 'assign':
                answer.assign(number, lambda: None)
            case 'end':
                answer.end_receipt(number)
            case 'close':
                answer.close()
        assert 0 <= memory.held_bytes <= LIMIT_BYTES
        sizes = [one.size_bytes for one in answers]
        assert sum(sizes) == memory.held_bytes
    for answer in answers:
        answer.close()
        assert not answer.grow(1)
    assert not memory.held_bytes


@pytest.mark.parametrize(
    ('sizes_by_owner', 'evicted'),
    [
        # The largest answer of the owner that holds the most.
        ({'a': (300, 350), 'b': (400,)}, ('a', 1)),
        ({'a': (300,), 'b': (600, 10)}, ('b', 0)),
    ],
)
def test_owner_that_holds_the_most_loses_its_largest_answer(
    sizes_by_owner: dict[str, tuple[int, ...]], evicted: tuple[str, int]
) -> None:
    memory = AnswerMemory(LIMIT_BYTES)
    lost: list[tuple[str, int]] = []
    for owner, sizes in sizes_by_owner.items():
        for index, size_bytes in enumerate(sizes):
            held = memory.open()
            held.assign(owner, functools.partial(lost.append, (owner, index)))
            held.grow(size_bytes)
    small = memory.open()
    small.assign('c', lambda: lost.append(('c', 0)))
    assert small.grow(100)
    assert lost == [evicted]


@pytest.mark.parametrize('name', ['long body', 'chunks', 'body without length'])
def test_answers_of_others_go_on_beside_endless_ones(name: str) -> None:
    """Guards against a host whose memory all endless answers share (38)."""
    start, repeated = ENDLESS[name]
    memory = AnswerMemory(2_000_000)

    def held_request(request_id: str) -> tuple[Any, HeldAnswer]:
        one = request(request_id)
        one.held_answer = memory.open()
        return one, one.held_answer

    async def main() -> None:
        upstream = Upstream(HEADER_NAMES, lambda *_: '')
        most_bytes = 0
        async with contextlib.AsyncExitStack() as stack:
            endless = EndlessTarget(start, repeated)
            bad, _ = await stack.enter_async_context(target(endless.answer))
            good, _ = await stack.enter_async_context(target(reply_with(OK)))
            requests = [held_request('r1') for _ in range(20)]
            sends = [
                asyncio.ensure_future(send(upstream, bad, one, 10))
                for one, _ in requests
            ]
            while not all(one.done() for one in sends):
                one, held = held_request('r1')
                answer = await send(upstream, good, one, 5)
                assert answer.outcome is SendOutcome.SERVED
                most_bytes = max(most_bytes, memory.held_bytes)
                held.close()
            assert {one.result().outcome for one in sends} == {SendOutcome.LOST}
            for _, held in requests:
                held.close()
        assert 0 < most_bytes <= 2_000_000
        assert not memory.held_bytes

    asyncio.run(main())
