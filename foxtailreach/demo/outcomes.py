"""Checks guarantees against the responses and the targets' runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from foxtailreach.core.verdict import Verdict
from foxtailreach.demo.load import Response
from foxtailreach.testing.target import Run


@dataclass(slots=True, frozen=True)
class Outcome:
    """The result of checking a guarantee, or a measured value.

    `is_kept` tells if the guarantee was kept; it is None for a measured value.
    """

    name: str
    measured: str
    stated: str
    is_kept: bool | None = None


def check_records(
    responses: Sequence[Response],
    runs: Sequence[Run],
) -> list[Outcome]:
    """Check the guarantees that can be verified from the two records."""
    counts = Counter(run.test_id for run in runs)
    repeated_posts = [
        response
        for response in responses
        if response.method == 'POST' and counts[response.test_id] > 1
    ]
    false_not_run = [
        response
        for response in responses
        if response.verdict == Verdict.NOT_RUN.value
        and counts[response.test_id]
    ]
    misdirected = [
        response for response in responses if not response.is_for_request
    ]
    partial = [response for response in responses if not response.is_whole]
    key_leaks = [run for run in runs if run.saw_key]
    customers = {response.test_id: response.customer for response in responses}
    wrong_customer = [
        run
        for run in runs
        if customers.get(run.test_id, run.customer) != run.customer
    ]
    without_verdict = [
        response for response in responses if not response.verdict
    ]
    return [
        _expect_none('non-idempotent requests run twice', repeated_posts),
        _expect_none('"not run" that was run', false_not_run),
        _expect_none("answers that were not the caller's own", misdirected),
        _expect_none('answers that were not whole', partial),
        _expect_none("targets that saw a caller's key", key_leaks),
        _expect_none('runs for another customer', wrong_customer),
        _expect_none('requests without a verdict', without_verdict),
    ]


def _expect_none(name: str, found: Sequence[object]) -> Outcome:
    return Outcome(name, str(len(found)), '0', not found)
