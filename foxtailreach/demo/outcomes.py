"""Checks the callers' records against the targets' records."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from foxtailreach.core.verdict import Verdict
from foxtailreach.demo.load import Answer
from foxtailreach.testing.target import Run


@dataclass(slots=True, frozen=True)
class Outcome:
    """One promise or measure; `is_kept` is None for a plain measure."""

    name: str
    measured: str
    stated: str
    is_kept: bool | None = None


def check_records(
    answers: Sequence[Answer],
    runs: Sequence[Run],
) -> list[Outcome]:
    """Check the promises that the two records can show."""
    counts = Counter(run.test_id for run in runs)
    doubled = [
        answer
        for answer in answers
        if answer.method == 'POST' and counts[answer.test_id] > 1
    ]
    untrue = [
        answer
        for answer in answers
        if answer.verdict == Verdict.NOT_RUN.value and counts[answer.test_id]
    ]
    crossed = [answer for answer in answers if not answer.is_own]
    partial = [answer for answer in answers if not answer.is_whole]
    leaked = [run for run in runs if run.saw_key]
    customers = {answer.test_id: answer.customer for answer in answers}
    foreign = [
        run
        for run in runs
        if customers.get(run.test_id, run.customer) != run.customer
    ]
    silent = [answer for answer in answers if not answer.verdict]
    return [
        _none('non-idempotent requests run twice', doubled),
        _none('"not run" that was run', untrue),
        _none("answers that were not the caller's own", crossed),
        _none('answers that were not whole', partial),
        _none("targets that saw a caller's key", leaked),
        _none('runs for another customer', foreign),
        _none('requests without a verdict', silent),
    ]


def _none(name: str, found: Sequence[object]) -> Outcome:
    return Outcome(name, str(len(found)), '0', not found)
