"""What stays valid when the platform's store is restored from a copy.

A restored store lacks the newest writes, and assigns their offsets again. Each
restoration begins a new era. Some knowledge outlives it, whatever the restored
store lists: a configuration is not replaced by an older one, and a target that
drains does so until it starts again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from foxtailreach.core.dispatch.messages import KeyedRecord

# Removed records that are remembered for later eras. A copy is some seconds
# old, so only the newest matter.
MAX_FORMER_RECORDS = 4096
# Offsets take 48 bits of a state version: at 62,000 records/s (93,000 targets
# that write every 1.5 s) they last for 140 years. The era takes 15 bits.
_OFFSET_BITS = 48
MAX_ERA = 2**15 - 1


def state_version(era: int, offset: int) -> int:
    """Return a number that orders offsets of all eras; negative offsets stay.

    In era 0 it is the offset itself.
    """
    return offset if offset < 0 else (era << _OFFSET_BITS) + offset


def is_same_era(version: int, other: int) -> bool:
    """Tell whether two state versions are of the same era."""
    return version >> _OFFSET_BITS == other >> _OFFSET_BITS


def _is_never_older(known: KeyedRecord, newer: KeyedRecord) -> bool:
    return False


def _is_never_kept(record: KeyedRecord) -> bool:
    return False


@dataclass(slots=True, frozen=True)
class EraRules:
    """What outlives a restoration of the store, in one topic.

    `is_older(known, other)` tells whether `other` is outdated by a record known
    from any era. `is_remembered` records are kept after their removal, for that
    comparison. `is_lasting` records stay although a restored store lacks them.
    """

    is_older: Callable[[KeyedRecord, KeyedRecord], bool] = _is_never_older
    is_remembered: Callable[[KeyedRecord], bool] = _is_never_kept
    is_lasting: Callable[[KeyedRecord], bool] = _is_never_kept


# For topics of which the log alone decides.
NO_RULES = EraRules()


class FormerRecords:
    """Removed records that outdate older ones of the same key."""

    __slots__ = ('_records', '_rules')

    def __init__(self, rules: EraRules) -> None:
        """Remember nothing yet."""
        self._rules = rules
        self._records: dict[str, KeyedRecord] = {}

    def remember(self, record: KeyedRecord) -> None:
        """Remember a removed record, if it outlives a restoration."""
        if not self._rules.is_remembered(record):
            return
        self._records.pop(record.key, None)
        self._records[record.key] = record
        if len(self._records) > MAX_FORMER_RECORDS:
            self._records.pop(next(iter(self._records)))

    def substitute(self, record: KeyedRecord) -> KeyedRecord:
        """Return the former record of a key instead of an outdated one.

        A newer record ends the memory of the former one.
        """
        former = self._records.get(record.key)
        if former is None:
            return record
        if self._rules.is_older(former, record):
            return replace(former, offset=record.offset)
        self._records.pop(record.key)
        return record
