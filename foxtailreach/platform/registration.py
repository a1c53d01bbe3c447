"""Registration of this host in the store, written again when it was lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from foxtailreach.core.dispatch.messages import HostAnnounced
from foxtailreach.core.dispatch.topic_mirror import TopicMirror
from foxtailreach.exceptions import PlatformUnavailableError
from foxtailreach.platform import records
from foxtailreach.platform.store import StoreClient

# A restoration may lose the registrations of all hosts at once.
SPREAD_S = 1.0
RETRY_INTERVAL_S = 0.5
# Readers read the list every 2 s, and the others copy it within 0.7 s.
RECHECK_INTERVAL_S = 4.0


class Registration:
    """Writes this host to the store."""

    __slots__ = ('_announce', '_is_lost', '_rng', '_store', '_topic')

    def __init__(
        self,
        store: StoreClient,
        topic: TopicMirror,
        announce: Callable[[], HostAnnounced],
        rng: random.Random,
    ) -> None:
        """Register what `announce` returns; `topic` mirrors the hosts."""
        self._store = store
        self._topic = topic
        self._announce = announce
        self._rng = rng
        self._is_lost = asyncio.Event()

    async def write(self) -> None:
        """Append the registration.

        Raises PlatformUnavailableError if the call fails.
        """
        announced = self._announce()
        await self._store.append(
            self._topic.name,
            announced.entry.host_id,
            records.encode_host(announced),
        )

    def check(self) -> None:
        """Note whether a restored store lacks the registration."""
        if self._is_missing():
            self._is_lost.set()

    async def keep(self) -> None:
        """Write lost registrations again until cancelled."""
        while True:
            await self._is_lost.wait()
            await asyncio.sleep(SPREAD_S * self._rng.random())
            if not self._is_missing():
                self._is_lost.clear()
                continue
            try:
                await self.write()
            except PlatformUnavailableError as error:
                logger.info('registration is not written again: {}', error)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            logger.bind(era=self._topic.era).info('registration written again')
            await asyncio.sleep(RECHECK_INTERVAL_S)

    def _is_missing(self) -> bool:
        """Whether the store was restored and lists no such process or newer.

        A newer process of this host registers itself.
        """
        if not self._topic.era:
            return False
        announced = self._announce()
        record = self._topic.records.get(announced.entry.host_id)
        listed = None if record is None else records.decode_host(record)
        return listed is None or listed.incarnation < announced.incarnation
