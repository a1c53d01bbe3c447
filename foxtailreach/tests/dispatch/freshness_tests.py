"""Tests of what a host does about the age of its configuration."""

from __future__ import annotations

import pytest

from foxtailreach.core.dispatch.freshness import Freshness, FreshnessStep
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

START_US = 100 * SECOND_US
STEP_US = 100 * MILLISECOND_US


def first_steps(
    freshness: Freshness, *, is_coordinator: bool, answers: bool = False
) -> dict[FreshnessStep, int]:
    """Return the age at which each step comes first, in milliseconds."""
    found: dict[FreshnessStep, int] = {}
    for age_us in range(0, 3 * SECOND_US, STEP_US):
        now_us = START_US + age_us
        step = freshness.next_step(now_us, is_coordinator=is_coordinator)
        found.setdefault(step, age_us // MILLISECOND_US)
        if answers and step is FreshnessStep.ASK_PEER:
            freshness.record_answer(now_us)
    return found


@pytest.mark.parametrize('is_confirmed', [True, False])
@pytest.mark.parametrize(
    ('is_coordinator', 'read_ms'), [(True, 1200), (False, 1400)]
)
def test_host_without_confirmations_asks_and_then_reads(
    is_coordinator: bool, read_ms: int, is_confirmed: bool
) -> None:
    freshness = Freshness()
    freshness.start(START_US)
    if is_confirmed:
        freshness.confirm(START_US)
    steps = first_steps(freshness, is_coordinator=is_coordinator)
    assert steps[FreshnessStep.ASK_PEER] == 1000
    assert steps[FreshnessStep.READ_STORE] == read_ms


def test_host_with_answers_of_peers_leaves_reading_to_coordinators() -> None:
    """All hosts at once would call a store that does not answer."""
    freshness = Freshness()
    freshness.confirm(START_US)
    steps = first_steps(freshness, is_coordinator=False, answers=True)
    assert FreshnessStep.READ_STORE not in steps


def test_questions_become_rare_while_no_host_has_newer_state() -> None:
    freshness = Freshness()
    freshness.confirm(START_US)
    asked_us = [
        now_us
        for now_us in range(START_US, START_US + 10 * SECOND_US, STEP_US)
        if freshness.next_step(now_us, is_coordinator=False)
        is FreshnessStep.ASK_PEER
    ]
    assert len(asked_us) <= 11


@pytest.mark.parametrize(
    ('confirmations_us', 'age_us'),
    [((), -1), ((START_US,), SECOND_US), ((START_US, START_US - 1), SECOND_US)],
    ids=['never', 'once', 'an older one later'],
)
def test_age_counts_from_the_newest_confirmation(
    confirmations_us: tuple[int, ...], age_us: int
) -> None:
    freshness = Freshness()
    for at_us in confirmations_us:
        freshness.confirm(at_us)
    assert freshness.age_us(START_US + SECOND_US) == age_us
