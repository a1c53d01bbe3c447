"""Rendezvous hashing, by which all hosts rank candidates the same way."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(candidate: str, subject: str) -> int:
    """Return the 64-bit score of `candidate` for `subject`."""
    text = f'{candidate}\0{subject}'
    return int(xxhash.xxh64_intdigest(text.encode()))


def rank_candidates(candidates: Iterable[str], subject: str) -> list[str]:
    """Order candidates by descending score for `subject`."""
    return sorted(
        candidates,
        key=lambda candidate: rendezvous_score(candidate, subject),
        reverse=True,
    )


def top_candidate(candidates: Iterable[str], subject: str) -> str | None:
    """Return the candidate with the highest score, if there is one."""
    return max(
        candidates,
        key=lambda candidate: rendezvous_score(candidate, subject),
        default=None,
    )
