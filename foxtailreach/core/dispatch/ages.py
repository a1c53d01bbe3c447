"""Ages of events in messages; -1 stands for an event that never occurred."""

from __future__ import annotations


def age_us(occurred_us: int, now_us: int) -> int:
    """Return the age of an event; -1 if its time is 0."""
    return now_us - occurred_us if occurred_us else -1


def timestamp_us(event_age_us: int, now_us: int) -> int:
    """Return the time of an event of this age; 0 if the age is -1."""
    return now_us - event_age_us if event_age_us >= 0 else 0
