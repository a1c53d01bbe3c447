"""Calls to a store that was restored from a copy."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httputil import HTTPHeaders

from foxtailreach.core.dispatch.changes import Change
from foxtailreach.core.dispatch.topic_mirror import TopicMirror
from foxtailreach.exceptions import (
    HistoryTrimmedError,
    PlatformUnavailableError,
)
from foxtailreach.gateway.settings import Address
from foxtailreach.platform import records
from foxtailreach.platform import store as store_module
from foxtailreach.platform.store import StoreClient, TopicPage
from foxtailreach.platform.topic_reader import fetch_topic
from foxtailreach.testing.platform import PlatformState
from foxtailreach.tests.platform.fakes import Store

TOPIC = records.HOSTS_TOPIC


def run_with_store(
    scenario: Callable[[Store, StoreClient], Awaitable[None]],
) -> None:
    """Run a scenario with a store over HTTP that holds two records."""

    async def main() -> None:
        store = Store()
        client = StoreClient(Address('127.0.0.1', store.port))
        for value in ('v', 'w'):
            await store.put(TOPIC, 'a', value)
        try:
            await scenario(store, client)
        finally:
            client.close()
            store.close()

    asyncio.run(main())


def test_era_is_not_read_from_the_answers() -> None:
    """A store that was never restored names no era."""

    async def scenario(store: Store, client: StoreClient) -> None:
        assert (await client.read(TOPIC, 0, 0)).era == 0
        assert (await client.read_newest(TOPIC)).era == 0
        store.restore(store.copy())
        assert (await client.read(TOPIC, 0, 0)).era == 1
        assert (await client.read_newest(TOPIC)).era == 1

    run_with_store(scenario)


def test_offset_that_the_store_has_lost_reads_as_the_end() -> None:
    """A host would wait for records that never come."""

    async def scenario(store: Store, client: StoreClient) -> None:
        copied = store.copy()
        await store.put(TOPIC, 'b', 'v')
        store.restore(copied)
        with pytest.raises(HistoryTrimmedError):
            await client.read(TOPIC, 3, 0)

    run_with_store(scenario)


def test_lost_offset_leads_to_an_empty_view() -> None:
    """A 410, and a log that has grown again, lead to a list of all keys."""

    async def scenario(store: Store, client: StoreClient) -> None:
        topic = TopicMirror(TOPIC, lambda known, newer: Change.MATERIAL)
        topic.replace([], 9)
        store.restore(store.copy())
        page = await fetch_topic(client, topic, 0)
        assert (page.is_whole, page.era, len(page.records)) == (True, 1, 1)
        topic.replace(page.records, page.next_offset, page.era)
        store.restore(store.copy())
        page = await fetch_topic(client, topic, 0)
        assert (page.is_whole, page.era, len(page.records)) == (True, 2, 1)
        topic.replace(page.records, page.next_offset, page.era)
        page = await fetch_topic(client, topic, 0)
        assert (page.is_whole, page.era, len(page.records)) == (False, 2, 0)

    run_with_store(scenario)


@pytest.mark.parametrize('text', ['', '-1', 'one', '1.0', '9' * 40, '٣'])
def test_malformed_era_is_followed(text: str) -> None:
    """Nothing tells whether its offsets are those of the last answer."""

    class Answer:
        headers = HTTPHeaders({'Store-Era': text})

    answer: Any = Answer()
    with pytest.raises(PlatformUnavailableError):
        store_module._read_era(answer)


class ScriptedStore:
    """Answers all calls by pages that are given in advance."""

    def __init__(self, *pages: TopicPage) -> None:
        """Answer by these pages in turn."""
        self._pages = list(pages)

    async def read(self, topic: str, offset: int, wait_ms: int) -> TopicPage:
        """Return the next page."""
        return self._pages.pop(0)

    async def read_newest(self, topic: str) -> TopicPage:
        """Return the next page."""
        return self._pages.pop(0)


def test_answer_from_before_a_restoration_is_used() -> None:
    """Another host has told this one of the newer era."""
    topic = TopicMirror(TOPIC, lambda known, newer: Change.MATERIAL)
    topic.replace([], 1, 2)
    older = TopicPage((), 5, era=1)
    store: Any = ScriptedStore(older, TopicPage((), 5, is_whole=True, era=1))
    with pytest.raises(PlatformUnavailableError):
        asyncio.run(fetch_topic(store, topic, 0))


def test_topic_that_is_restored_while_it_is_listed_is_a_mixture(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The list consists of pages, which may be of two eras."""

    async def scenario(store: Store, client: StoreClient) -> None:
        def decode(*_: object) -> store_module._ListPage:
            store.era += 1
            return store_module._ListPage((), 1, 'a')

        monkeypatch.setattr(store_module, '_decode_list', decode)
        with pytest.raises(PlatformUnavailableError):
            await client.read_newest(TOPIC)

    run_with_store(scenario)


def test_streams_of_the_fake_platform_keep_what_was_appended() -> None:
    """A restoration loses what was appended since the copy, each time."""
    state = PlatformState()
    state.stream('log').append('kept')
    copied = state.copy()
    for era in (1, 2):
        state.stream('log').append('lost')
        state.restore(copied)
        assert state.era == era
        assert state.stream('log').payloads == ['kept']
