"""Keeps what the store lacks in use for a while after an outage or restoration.

Load pattern: while the store is away, entries of targets expire although the
targets live. A store that is restored from a copy lacks entries that were
written since, and perhaps orders of the operators. Whoever wrote them writes
them again within 2.5 s of its return; what is then still missing has gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger

from foxtailreach.core.dispatch.messages import KeyedRecord, TopicVersion
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.core.dispatch.outages import OutageDetector
from foxtailreach.core.dispatch.retention import RetainedRecords
from foxtailreach.core.dispatch.topic_mirror import TopicMirror
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.platform import records
from foxtailreach.platform.store import TopicPage

# Targets that live renew their entries within 2 s of the store's return.
RENEWAL_US = 2500 * MILLISECOND_US
EXPIRY_MARGIN_US = 10 * MILLISECOND_US
MAX_LOGGED_KEYS = 20

# The records of topics as they were known in an older era, by topic and key.
KnownRecords = dict[str, dict[str, KeyedRecord]]


class Retainer:
    """Decides which removed records stay in use, and until when."""

    __slots__ = (
        '_clock',
        '_mirror',
        '_on_expired',
        '_outages',
        '_renewal_end_us',
        '_returned_offset',
    )

    def __init__(
        self,
        mirror: StateMirror,
        heartbeat_us: int,
        clock: Callable[[], int],
        on_expired: Callable[[str], None],
    ) -> None:
        """Call `on_expired` with a reason when records are no longer used.

        Targets write every `heartbeat_us`; `clock` returns microseconds.
        """
        self._mirror = mirror
        self._clock = clock
        self._on_expired = on_expired
        self._outages = OutageDetector(heartbeat_us)
        # Until when targets renew entries that expired in the last outage, and
        # the end of the log at the first read after it.
        self._renewal_end_us = 0
        self._returned_offset = 0

    def record_read(self, log_offset: int, era: int, now_us: int) -> None:
        """Record that another host has read the log of targets."""
        self._outages.record_read(log_offset, now_us, era)

    def retain_expired(
        self, topic: TopicMirror, page: TopicPage, now_us: int
    ) -> None:
        """Retain targets whose entries expired in an outage of the store.

        Called before the page is applied.
        """
        removed = [topic.records[key] for key in _removed_keys(topic, page)]
        if page.era > topic.era and topic.is_read:
            # `retain_missing` keeps what the restored store lacks.
            self._renewal_end_us = now_us + RENEWAL_US
            self._returned_offset = page.next_offset
            removed = []
        elif self._outages.was_away(
            page.records, len(removed), page.next_offset, now_us, page.era
        ):
            self._renewal_end_us = now_us + RENEWAL_US
            self._returned_offset = page.next_offset
            logger.bind(next_offset=page.next_offset).info(
                'store is back after an outage'
            )
        self._outages.record_read(page.next_offset, now_us, page.era)
        expired = [
            record
            for record in removed
            if now_us < self._renewal_end_us
            # A target that was heard after the outage has left by itself.
            and record.offset < self._returned_offset
        ]
        self.retain(expired, self._renewal_end_us - now_us)
        if removed:
            logger.bind(
                targets=[record.key for record in removed],
                retained=len(expired),
                next_offset=page.next_offset,
            ).info('targets left')

    def retain(self, removed: list[KeyedRecord], for_us: int) -> None:
        """Use removed targets for some time more."""
        self._keep(self._mirror.retained, removed, for_us)

    def known_before(self, versions: Iterable[TopicVersion]) -> KnownRecords:
        """Return what is known of the topics that are of an older era here."""
        topics = self._mirror.topics
        return {
            version.topic: dict(topics[version.topic].records)
            for version in versions
            if version.topic in topics
            and version.era > topics[version.topic].era
        }

    def retain_missing(self, known: KnownRecords) -> None:
        """Retain what is missing after a restoration; see `known_before`."""
        for name, known_records in known.items():
            listed = self._mirror.topics[name].records
            missing = [
                record
                for key, record in known_records.items()
                if key not in listed
            ]
            if missing:
                logger.bind(
                    topic=name,
                    era=self._mirror.topics[name].era,
                    missing=len(missing),
                    keys=[record.key for record in missing[:MAX_LOGGED_KEYS]],
                ).info('the restored store lacks records')
            match name:
                case records.TARGETS_TOPIC:
                    self._keep(self._mirror.retained, missing, RENEWAL_US)
                case records.OPERATOR_TOPIC:
                    orders = self._mirror.retained_orders
                    self._keep(orders, missing, RENEWAL_US)

    def end_renewed(self) -> None:
        """Stop retaining what the store lists again."""
        topics = self._mirror.topics
        self._mirror.retained.discard(topics[records.TARGETS_TOPIC].records)
        self._mirror.retained_orders.discard(
            topics[records.OPERATOR_TOPIC].records
        )

    def end_removed(self, page: TopicPage) -> bool:
        """Stop retaining orders that operators withdraw; return if any."""
        orders = self._mirror.retained_orders
        withdrawn = {one.key for one in page.records if not one.payload}
        is_retained = not withdrawn.isdisjoint(orders.keys)
        orders.discard(withdrawn)
        return is_retained

    def _keep(
        self,
        retained: RetainedRecords,
        removed: list[KeyedRecord],
        for_us: int,
    ) -> None:
        if not removed:
            return
        retained.keep(removed, self._clock() + for_us)
        # A little later, as the timer of the loop may fire early.
        delay_s = (for_us + EXPIRY_MARGIN_US) / SECOND_US
        asyncio.get_running_loop().call_later(delay_s, self._expire)

    def _expire(self) -> None:
        """Stop using the retained records that were not renewed in time."""
        now_us = self._clock()
        listed = self._mirror.topics[records.TARGETS_TOPIC].records
        expired = self._mirror.retained.expire(now_us)
        orders = self._mirror.retained_orders.expire(now_us)
        gone = [key for key in expired if key not in listed]
        if gone:
            logger.bind(targets=gone).info('targets not renewed')
        if gone or orders:
            self._on_expired('an expiry')


def _removed_keys(topic: TopicMirror, page: TopicPage) -> list[str]:
    """Return the known keys that a page removes."""
    newest = {record.key: record for record in page.records}
    if page.is_whole:
        return [
            record.key
            for record in topic.records.values()
            if record.key not in newest and record.offset < page.next_offset
        ]
    return [
        record.key
        for record in newest.values()
        if not record.payload
        and record.key in topic.records
        and record.offset > topic.records[record.key].offset
    ]
