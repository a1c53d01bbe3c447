"""Creates a gateway host from the platform's settings and runs it."""

from __future__ import annotations

import asyncio
import sys

from foxtailreach.exceptions import SettingsError
from foxtailreach.gateway.daemon import Gateway, GatewayOptions
from foxtailreach.gateway.state_feed import FeedDependencies, StateFeed
from foxtailreach.platform.feed import PlatformFeed
from foxtailreach.platform.headers import PLATFORM_HEADERS
from foxtailreach.platform.records import request_priority
from foxtailreach.platform.settings import read_settings, settings_path
from foxtailreach.platform.store import StoreClient


def main() -> None:
    """Serve until SIGTERM.

    Invalid settings print one line and set the exit code.
    """
    try:
        asyncio.run(_serve())
    except SettingsError as error:
        sys.stderr.write(f'error: {error}\n')
        sys.exit(error.exit_code)


async def _serve() -> None:
    path = settings_path()
    settings = read_settings(path)
    store = StoreClient(settings.store)

    def create_feed(dependencies: FeedDependencies) -> StateFeed:
        return PlatformFeed(
            settings,
            store,
            dependencies.node,
            dependencies.peers,
            dependencies.rng,
            dependencies.on_effects,
        )

    options = GatewayOptions(
        settings=settings,
        header_names=PLATFORM_HEADERS,
        priority=request_priority,
        create_feed=create_feed,
        reload=lambda: read_settings(path),
    )
    await Gateway.from_options(options).run()
    store.close()
