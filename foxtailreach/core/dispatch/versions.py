"""Compares versions of a topic on two hosts; see `TopicVersion`."""

from __future__ import annotations

from foxtailreach.core.dispatch.messages import TopicVersion


def is_behind(own: TopicVersion, other: TopicVersion) -> bool:
    """Tell whether the other host knows of a change that this one lacks."""
    if other.era != own.era:
        return other.era > own.era and other.changed_offset >= 0
    return other.changed_offset > max(own.next_offset, own.changed_offset)


def contradicts(own: TopicVersion, other: TopicVersion) -> bool:
    """Tell whether the other host holds other content at an offset."""
    first = max(own.changed_offset, other.changed_offset)
    last = min(own.next_offset, other.next_offset)
    is_overlapping = other.era == own.era and 0 <= first <= last
    return is_overlapping and other.digest != own.digest
