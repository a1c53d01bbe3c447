"""Records of the platform's log and their JSON encoding."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from foxtailreach.config.faults import Fault, describe_faults
from foxtailreach.config.objects import ChangeSet, Objects
from foxtailreach.exceptions import ProtocolError

_CONFIG = ConfigDict(extra='forbid')


@dataclass(slots=True, frozen=True, config=_CONFIG)
class SeatEpoch:
    """A quota partition and its epoch, which each claim increases by one.

    A claim with any other epoch is ignored, and so is a release that does not
    name the current epoch and holder.
    """

    seat: str
    epoch: int


@dataclass(slots=True, frozen=True, config=_CONFIG)
class ChangeRecord:
    """A change set published by an operator."""

    change: ChangeSet
    kind: Literal['change'] = 'change'


@dataclass(slots=True, frozen=True, config=_CONFIG)
class ClaimRecord:
    """A host claims quota partitions."""

    host_id: str
    seats: tuple[SeatEpoch, ...]
    kind: Literal['claim'] = 'claim'


@dataclass(slots=True, frozen=True, config=_CONFIG)
class ReleaseRecord:
    """A stopping host gives up its quota partitions."""

    host_id: str
    seats: tuple[SeatEpoch, ...]
    kind: Literal['release'] = 'release'


@dataclass(slots=True, frozen=True, config=_CONFIG)
class SeatHolder:
    """The holder of a quota partition; `host_id` is empty once released."""

    seat: str
    epoch: int
    host_id: str


@dataclass(slots=True, frozen=True, config=_CONFIG)
class ChangeOutcome:
    """The result of a change set; `faults` is empty if it was accepted."""

    change_id: str
    version: int
    faults: str = ''


@dataclass(slots=True, frozen=True, config=_CONFIG)
class SnapshotRecord:
    """The state after all log records before `next_offset`."""

    version: int
    next_offset: int
    objects: Objects
    holders: tuple[SeatHolder, ...] = ()
    outcomes: tuple[ChangeOutcome, ...] = ()
    kind: Literal['snapshot'] = 'snapshot'


Record = Annotated[
    ChangeRecord | ClaimRecord | ReleaseRecord | SnapshotRecord,
    Field(discriminator='kind'),
]
_RECORD: TypeAdapter[Record] = TypeAdapter(Record)


def encode_record(record: Record) -> bytes:
    """Serialize a record as JSON."""
    return _RECORD.dump_json(record, exclude_defaults=False)


def decode_record(payload: bytes) -> Record:
    """Parse a record; raises ProtocolError on malformed input."""
    try:
        return _RECORD.validate_json(payload)
    except ValidationError as error:
        faults = describe_faults(Fault.from_validation(error))
        raise ProtocolError(f'malformed log record: {faults}') from error
