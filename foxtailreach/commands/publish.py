"""Publishes change sets through the platform's log."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from pathlib import Path
from uuid import uuid4

from foxtailreach.config.checks import check_change_set
from foxtailreach.config.faults import describe_faults
from foxtailreach.config.files import read_change_set
from foxtailreach.config.objects import ChangeSet, Objects
from foxtailreach.config.records import (
    ChangeOutcome,
    ChangeRecord,
    encode_record,
)
from foxtailreach.core.fold import Fold
from foxtailreach.daemon.platform import PlatformAddress, PlatformClient
from foxtailreach.exceptions import (
    ConfigurationError,
    PlatformUnavailableError,
    PublishConflictError,
)

OUTCOME_TRIES = 40
OUTCOME_INTERVAL_S = 0.25

# Builds a change set from the objects, a change id and the base version.
Edit = Callable[[Objects, str, int], ChangeSet]


def publish_files(address: PlatformAddress, paths: Sequence[Path]) -> int:
    """Publish TOML files as one change set; return the new version.

    Raises ConfigurationError, PublishConflictError or
    PlatformUnavailableError.
    """
    return asyncio.run(
        publish(
            address,
            lambda current, change_id, version: read_change_set(
                paths,
                change_id,
                version,
            ),
        ),
    )


async def publish(address: PlatformAddress, edit: Edit) -> int:
    """Publish the change that `edit` builds; return the new version.

    Waits up to OUTCOME_TRIES x OUTCOME_INTERVAL_S for the change to appear in
    the log, so an append whose answer was lost still counts. Raises
    ConfigurationError, PublishConflictError or PlatformUnavailableError.
    """
    with contextlib.closing(PlatformClient(address)) as client:
        fold = Fold()
        await catch_up(client, fold)
        change = edit(fold.objects, uuid4().hex, fold.version)
        faults = check_change_set(fold.objects, change)
        if faults:
            raise ConfigurationError(describe_faults(faults))
        payload = encode_record(ChangeRecord(change))
        append_error: PlatformUnavailableError | None = None
        try:
            await client.append(payload)
        except PlatformUnavailableError as error:
            append_error = error
        outcome = await _wait_for_outcome(client, fold, change.change_id)
        if outcome is None:
            raise append_error or PlatformUnavailableError(
                f'change set {change.change_id} did not appear in the log; '
                'check the version before publishing it again',
            )
        if outcome.faults:
            raise PublishConflictError(
                f'change set {change.change_id} was rejected: '
                f'{outcome.faults}; publish it again on the new version',
            )
        return outcome.version


async def catch_up(client: PlatformClient, fold: Fold) -> None:
    """Read the log to its end and apply its records to `fold`.

    Raises PlatformUnavailableError if the log does not respond, or has
    been trimmed beyond the offset of `fold`.
    """
    while True:
        page = await client.read(fold.next_offset)
        for record in page.records:
            fold.apply(record.offset, record.payload)
        if fold.next_offset >= page.next_offset:
            return
        if not page.records or page.first_offset > fold.next_offset:
            raise PlatformUnavailableError(
                'the log has been trimmed and holds no snapshot yet',
            )


async def _wait_for_outcome(
    client: PlatformClient,
    fold: Fold,
    change_id: str,
) -> ChangeOutcome | None:
    for _ in range(OUTCOME_TRIES):
        with contextlib.suppress(PlatformUnavailableError):
            await catch_up(client, fold)
        outcome = fold.outcome(change_id)
        if outcome is not None:
            return outcome
        await asyncio.sleep(OUTCOME_INTERVAL_S)
    return None
