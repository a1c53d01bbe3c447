"""Keeps records that expired in an outage of the platform's store in use.

The mirror always holds what the log says, so that its versions mean the same on
all hosts. Which removed records are used for a while is kept apart from it.
"""

from __future__ import annotations

from collections.abc import Iterable

from foxtailreach.core.dispatch.messages import KeyedRecord


class RetainedRecords:
    """Removed records that are used until `until_us` unless renewed."""

    __slots__ = ('_records', 'until_us')

    def __init__(self) -> None:
        """Retain nothing."""
        self._records: dict[str, KeyedRecord] = {}
        self.until_us = 0

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the keys of the retained records."""
        return tuple(self._records)

    @property
    def records(self) -> dict[str, KeyedRecord]:
        """Return the retained records by their keys."""
        return dict(self._records)

    def keep(self, removed: Iterable[KeyedRecord], until_us: int) -> None:
        """Retain removed records."""
        added = {record.key: record for record in removed}
        self._records.update(added)
        self.until_us = until_us

    def discard(self, keys: Iterable[str]) -> None:
        """Stop retaining keys that were renewed or have left for good."""
        for key in keys:
            self._records.pop(key, None)

    def expire(self, now_us: int) -> list[str]:
        """Return the keys whose time is over, and stop retaining them."""
        if not self._records or now_us < self.until_us:
            return []
        expired = list(self._records)
        self._records.clear()
        return expired

    def remaining_us(self, now_us: int) -> int:
        """Return for how much longer the records are retained."""
        return max(0, self.until_us - now_us) if self._records else 0
