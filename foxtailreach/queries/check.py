"""Checks a configuration without publishing it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from pathlib import Path

from foxtailreach.commands.publish import catch_up
from foxtailreach.config.faults import describe_faults
from foxtailreach.config.files import parse_files
from foxtailreach.config.objects import Objects
from foxtailreach.core.fold import Fold
from foxtailreach.daemon.platform import PlatformAddress, PlatformClient
from foxtailreach.exceptions import ConfigurationError


def check_files(
    paths: Sequence[Path],
    address: PlatformAddress | None = None,
) -> None:
    """Check TOML files, on top of the published objects if given an address.

    Raises a ConfigurationError that lists all faults.
    """
    current = Objects()
    if address is not None:
        current = asyncio.run(_current_objects(address))
    faults = parse_files(paths, 'check', 0).all_faults(current)
    if faults:
        raise ConfigurationError(describe_faults(faults))


async def _current_objects(address: PlatformAddress) -> Objects:
    with contextlib.closing(PlatformClient(address)) as client:
        fold = Fold()
        await catch_up(client, fold)
        return fold.objects
