"""What a record of a topic means for the known value of its key."""

from __future__ import annotations

import enum
from collections.abc import Callable

from foxtailreach.core.dispatch.messages import KeyedRecord


class Change(enum.Enum):
    """Effect of a record on the known value of its key.

    `STALE` records are ignored, `REPEATED` ones are stored without a new
    version, and `MATERIAL` ones create a new version.
    """

    STALE = 'stale'
    REPEATED = 'repeated'
    MATERIAL = 'material'


Classify = Callable[[KeyedRecord | None, KeyedRecord], Change]
# Returns the part of a record that two replicas must agree on.
Fingerprint = Callable[[KeyedRecord], bytes]


def whole_payload(record: KeyedRecord) -> bytes:
    """Return the payload, for topics where each byte counts."""
    return record.payload
