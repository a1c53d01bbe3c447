"""Holds back the removal of targets after an outage of the store.

Load pattern: entries of targets expire while the store is away, although the
targets live. They are renewed within about two seconds of its return.
"""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.dispatch.mirror import TopicMirror
from foxtailreach.core.units import MILLISECOND_US

REMOVAL_HOLD_US = 2500 * MILLISECOND_US


class HeldRemovals:
    """Targets that the store no longer lists, shortly after an outage.

    `is_store_up` tells whether the last call to the store succeeded.
    """

    __slots__ = ('_held', '_hold_until_us', 'is_store_up')

    def __init__(self) -> None:
        """Start without an outage."""
        self.is_store_up = True
        self._held: set[str] = set()
        self._hold_until_us = 0

    def record_read(self, now_us: int) -> None:
        """Record that the store answered."""
        if not self.is_store_up:
            self.is_store_up = True
            self._hold_until_us = now_us + REMOVAL_HOLD_US
            logger.info('store is back after an outage')

    def record_failure(self, error: Exception) -> None:
        """Record that the store did not answer."""
        if self.is_store_up:
            self.is_store_up = False
            logger.warning('store does not answer: {}', error)

    def hold(
        self, page: Iterable[KeyedRecord], now_us: int
    ) -> list[KeyedRecord]:
        """Return the records of a page; hold back its removals if due."""
        if not self._is_recovering(now_us):
            return list(page)
        kept: list[KeyedRecord] = []
        for record in page:
            if record.payload:
                self._held.discard(record.key)
                kept.append(record)
            else:
                self._held.add(record.key)
        return kept

    def keep_missing(
        self,
        page: Iterable[KeyedRecord],
        topic: TopicMirror,
        now_us: int,
    ) -> list[KeyedRecord]:
        """Return the records of a whole topic, and known ones it lacks."""
        listed = list(page)
        if not self._is_recovering(now_us):
            return listed
        names = {record.key for record in listed}
        for key, record in topic.records.items():
            if key not in names:
                listed.append(record)
                self._held.add(key)
        return listed

    def take_due(self, now_us: int) -> list[str]:
        """Return the targets that were not renewed after an outage."""
        if not self._held or now_us < self._hold_until_us:
            return []
        gone = list(self._held)
        self._held.clear()
        logger.bind(targets=gone).info('targets gone after an outage')
        return gone

    def _is_recovering(self, now_us: int) -> bool:
        """Whether the store is unavailable, or was until shortly before."""
        return not self.is_store_up or now_us < self._hold_until_us
