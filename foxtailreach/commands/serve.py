"""Runs one host."""

from __future__ import annotations

import asyncio
from pathlib import Path

from foxtailreach.config.settings import HostSettings
from foxtailreach.daemon.host import Host


def serve(settings_path: Path) -> None:
    """Serve callers until SIGTERM or SIGINT.

    Raises SettingsError or AddressInUseError before it accepts requests.
    """
    settings = HostSettings.from_toml(settings_path)
    asyncio.run(_serve(settings))


async def _serve(settings: HostSettings) -> None:
    host = Host.from_config(settings)
    await host.run()
