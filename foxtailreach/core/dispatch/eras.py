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


def _is_never(known: KeyedRecord, other: KeyedRecord) -> bool:
    return False


def _is_none(record: KeyedRecord) -> bool:
    return False


@dataclass(slots=True, frozen=True)
class EraRules:
    """What outlives a restoration of the store, in one topic.

    `is_older(known, other)` tells whether `other` is outdated by a record known
    from any era. `is_final` records take the place of older ones even after
    their removal. `is_lasting` ones stay although a restored store lacks them.
    `is_same_start(left, other)` tells whether `other` was written by a process
    of which the record was removed.
    """

    is_older: Callable[[KeyedRecord, KeyedRecord], bool] = _is_never
    is_final: Callable[[KeyedRecord], bool] = _is_none
    is_lasting: Callable[[KeyedRecord], bool] = _is_none
    is_same_start: Callable[[KeyedRecord, KeyedRecord], bool] = _is_never


# For topics of which the log alone decides.
NO_RULES = EraRules()


class FormerRecords:
    """Removed records, which tell what is outdated in a restored store."""

    __slots__ = ('_end', '_era', '_records', '_rules')

    def __init__(self, rules: EraRules) -> None:
        """Remember nothing yet."""
        self._rules = rules
        self._records: dict[str, KeyedRecord] = {}
        self._era = 0
        self._end = 0

    def begin(self, era: int, end: int) -> None:
        """Begin an era in which the copy held offsets below `end` at most."""
        self._era = era
        self._end = end

    def remember(self, record: KeyedRecord) -> None:
        """Remember a removed record."""
        self.forget(record.key)
        self._records[record.key] = record
        if len(self._records) > MAX_FORMER_RECORDS:
            self.forget(next(iter(self._records)))

    def forget(self, key: str) -> None:
        """Forget the removed record of a key that was written again."""
        self._records.pop(key, None)

    def substitute(self, record: KeyedRecord) -> KeyedRecord | None:
        """Return what a record means after a restoration; None if nothing.

        That is the former record of the key if it is final and newer. A record
        of the copy is refused if its process had left; if it has not, it writes
        again.
        """
        former = self._records.get(record.key)
        if not self._era or former is None:
            return record
        if self._rules.is_final(former) and self._rules.is_older(
            former, record
        ):
            return replace(former, offset=record.offset)
        is_copied = record.offset < self._end
        is_outdated = is_copied and self._rules.is_same_start(former, record)
        return None if is_outdated else record
