"""Builds a gateway host from the platform's settings and runs it."""

from __future__ import annotations

import asyncio
import sys

from foxtailreach.exceptions import SettingsError
from foxtailreach.gateway.daemon import Gateway, GatewayPlan
from foxtailreach.gateway.feeds import Feed, FeedParts
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.headers import PLATFORM_HEADERS
from foxtailreach.platform.records import priority_of
from foxtailreach.platform.settings import read_settings, settings_path
from foxtailreach.platform.store import StoreClient


def main() -> None:
    """Serve until SIGTERM; an unusable settings file is one line."""
    try:
        asyncio.run(_serve())
    except SettingsError as error:
        sys.stderr.write(f'error: {error}\n')
        sys.exit(error.exit_code)


async def _serve() -> None:
    path = settings_path()
    settings = read_settings(path)
    store = StoreClient(settings.store)

    def create_feed(parts: FeedParts) -> Feed:
        return PlatformFeed(
            settings,
            store,
            parts.node,
            parts.peers,
            parts.rng,
            parts.on_effects,
        )

    plan = GatewayPlan(
        settings=settings,
        names=PLATFORM_HEADERS,
        priority=priority_of,
        create_feed=create_feed,
        reload=lambda: read_settings(path),
    )
    await Gateway.from_plan(plan).run()
    store.close()
