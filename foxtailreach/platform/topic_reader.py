"""Reads what one topic of the store has gained, across its restorations."""

from __future__ import annotations

from loguru import logger

from foxtailreach.core.dispatch.topic_mirror import TopicMirror
from foxtailreach.exceptions import (
    HistoryTrimmedError,
    PlatformUnavailableError,
)
from foxtailreach.platform.store import StoreClient, TopicPage


async def fetch_topic(
    store: StoreClient, topic: TopicMirror, wait_ms: int
) -> TopicPage:
    """Read the records since the last read, or the newest of each key.

    All keys are listed if the store was restored since, or no longer has the
    history. The page is of the era of `topic` or of a newer one.

    Raises PlatformUnavailableError if a call fails, or if it is answered by the
    store as it was before a restoration that this host knows of.
    """
    if topic.is_read and not topic.is_diverged:
        try:
            page = await store.read(topic.name, topic.next_offset, wait_ms)
        except HistoryTrimmedError:
            logger.info(
                'the store lacks the history of {}, reading all its records',
                topic.name,
            )
        else:
            # A copy of another host may have been adopted during the call.
            if page.era == topic.era:
                return page
    page = await store.read_newest(topic.name)
    if page.era < topic.era:
        raise PlatformUnavailableError(
            f'{topic.name} was read in era {page.era}, after {topic.era}',
        )
    if page.era > topic.era and topic.is_read:
        logger.bind(
            topic=topic.name,
            era=page.era,
            next_offset=page.next_offset,
            known_offset=topic.next_offset,
        ).warning('the store was restored from a copy')
    return page
