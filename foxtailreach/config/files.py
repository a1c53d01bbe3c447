"""Reads named objects from TOML files into a change set."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError

from foxtailreach.config.checks import check_change_set
from foxtailreach.config.faults import Fault, describe_faults
from foxtailreach.config.objects import (
    KINDS,
    OBJECTS,
    REMOVALS,
    ChangeSet,
    Objects,
    Removals,
)
from foxtailreach.config.settings import read_toml
from foxtailreach.exceptions import ConfigurationError

REMOVALS_TABLE = 'remove'


@dataclass(slots=True, frozen=True)
class ParsedFiles:
    """The valid objects of TOML files, and the faults of the others."""

    change: ChangeSet
    faults: tuple[Fault, ...]

    def all_faults(self, current: Objects) -> list[Fault]:
        """Return the parse faults and those of applying `change` to `current`.

        A reference to an object that failed to parse is left out, since the
        object's own fault is already listed.
        """
        invalid_names = {
            fault.key.split('.')[1] for fault in self.faults if '.' in fault.key
        }
        return [
            *self.faults,
            *(
                fault
                for fault in check_change_set(current, self.change)
                if fault.found.strip("'") not in invalid_names
            ),
        ]


def read_change_set(
    paths: Sequence[Path],
    change_id: str,
    base_version: int,
) -> ChangeSet:
    """Merge TOML files into one change set.

    Raises a ConfigurationError that lists the faults of all files.
    """
    parsed = parse_files(paths, change_id, base_version)
    if parsed.faults:
        raise ConfigurationError(describe_faults(parsed.faults))
    return parsed.change


def parse_files(
    paths: Sequence[Path],
    change_id: str,
    base_version: int,
) -> ParsedFiles:
    """Merge TOML files, and collect the faults of invalid objects."""
    merged: dict[str, dict[str, object]] = {}
    faults: list[Fault] = []
    for path in paths:
        faults.extend(_merge_file(path, merged))
    removals = merged.pop(REMOVALS_TABLE, {})
    upserts, upsert_faults = _parse_objects(merged)
    parsed_removals, removal_faults = _parse_removals(removals)
    change = ChangeSet(
        change_id=change_id,
        base_version=base_version,
        upserts=upserts,
        removals=parsed_removals,
    )
    return ParsedFiles(
        change,
        (*faults, *upsert_faults, *removal_faults),
    )


def _merge_file(
    path: Path,
    merged: dict[str, dict[str, object]],
) -> list[Fault]:
    faults = []
    for kind, entries in read_toml(path).items():
        if kind not in KINDS and kind != REMOVALS_TABLE:
            allowed = ', '.join((*KINDS, REMOVALS_TABLE))
            faults.append(Fault(kind, 'an unknown table', f'use {allowed}'))
        elif not isinstance(entries, dict):
            faults.append(Fault(kind, repr(entries), 'must be a table'))
        else:
            faults.extend(_merge_entries(kind, entries, merged))
    return faults


def _merge_entries(
    kind: str,
    entries: dict[str, object],
    merged: dict[str, dict[str, object]],
) -> list[Fault]:
    known = merged.setdefault(kind, {})
    repeated = sorted(known.keys() & entries.keys())
    known.update(entries)
    return [
        Fault(f'{kind}.{name}', 'a second definition', 'define it once')
        for name in repeated
    ]


def _parse_objects(
    merged: dict[str, dict[str, object]],
) -> tuple[Objects, list[Fault]]:
    try:
        return OBJECTS.validate_python(merged), []
    except ValidationError as error:
        for detail in error.errors():
            kind, name = detail['loc'][:2]
            merged[str(kind)].pop(str(name), None)
        return OBJECTS.validate_python(merged), Fault.from_validation(error)


def _parse_removals(
    removals: dict[str, object],
) -> tuple[Removals, list[Fault]]:
    try:
        return REMOVALS.validate_python(removals), []
    except ValidationError as error:
        return Removals(), Fault.from_validation(error)
