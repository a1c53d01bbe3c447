"""Messages between the hosts of a fleet that brokers slots.

A host that has a request asks the broker of its service for a slot, sends
the request to the granted target itself, and reports the outcome. The
schema is `foxtailreach/rpc/fleet.thrift`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.messages import (
    Ack,
    HostEntry,
    HostRumor,
    Ping,
    PingRequest,
)


class SendOutcome(enum.StrEnum):
    """How sending a request to a target ended."""

    SERVED = 'served'
    FAILED = 'failed'
    LOST = 'lost'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    MISDIRECTED = 'misdirected'
    TIMED_OUT = 'timed-out'
    ABANDONED = 'abandoned'


class RefusalCause(enum.StrEnum):
    """Why a broker does not grant a slot."""

    NO_TARGET = 'no-target'
    OVERLOAD = 'overload'
    REPEAT_BUDGET = 'repeat-budget'
    QUARANTINED = 'quarantined'
    NOT_READY = 'not-ready'


class Admission(enum.StrEnum):
    """Whether a customer's request is within its limit."""

    WITHIN_LIMIT = 'owed'
    SURPLUS = 'surplus'
    REFUSED = 'refused'


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """Asks for a slot on a target of a service.

    `time_left_us` and `objective_left_us` count from the moment of sending;
    the latter may be negative. `connected` names targets to which the
    sender has an idle connection, `excluded` those it must not get.
    """

    ask_id: int
    service_name: str
    kind: RequestKind
    priority: int
    time_left_us: int
    objective_left_us: int
    is_repeat: bool
    may_repeat: bool
    is_surplus: bool
    fingerprint: int
    connected: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class SlotGrant:
    """Grants one request on a target; `proven_age_us` is -1 if unproven."""

    ask_id: int
    target_id: str
    address: str
    port: int
    started_ms: int
    proven_age_us: int


@dataclass(slots=True, frozen=True)
class SlotQueued:
    """Tells that a request waits for a slot."""

    ask_id: int
    wait_us: int


@dataclass(slots=True, frozen=True)
class SlotRefused:
    """Tells that a request gets no slot."""

    ask_id: int
    cause: RefusalCause
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class SlotCancel:
    """The request no longer needs a slot; a granted one was not used."""

    ask_id: int
    service_name: str


@dataclass(slots=True, frozen=True)
class TurnedAway:
    """Tells a broker of a request that never asked it for a slot."""

    service_name: str


@dataclass(slots=True, frozen=True)
class SlotReport:
    """Returns a slot and tells how the target behaved."""

    ask_id: int
    service_name: str
    target_id: str
    started_ms: int
    outcome: SendOutcome
    latency_us: int
    fingerprint: int


@dataclass(slots=True, frozen=True)
class ChargeRequest:
    """Asks for the right to run one request of a customer."""

    ask_id: int
    customer: str


@dataclass(slots=True, frozen=True)
class ChargeResult:
    """Tells whether a customer's request is within its limit."""

    ask_id: int
    admission: Admission
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class MeterHandover:
    """Ages of a customer's admissions, for the host that meters it next."""

    customer: str
    ages_us: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class TargetEvidence:
    """Age of a target's last good and last bad answer; -1 if none."""

    target_id: str
    served_age_us: int
    failed_age_us: int


@dataclass(slots=True, frozen=True)
class EvidenceDigest:
    """A broker's evidence, for hosts that may have to do without it."""

    service_name: str
    entries: tuple[TargetEvidence, ...]


@dataclass(slots=True, frozen=True)
class HostAnnounced:
    """A host introduces itself to one that may not know it."""

    entry: HostEntry
    incarnation: int


@dataclass(slots=True, frozen=True)
class TopicVersion:
    """Version of one mirrored topic: changes up to this offset are in it."""

    topic: str
    offset: int


@dataclass(slots=True, frozen=True)
class StateNotice:
    """Tells which state the sender has; `age_us` is -1 if never read."""

    versions: tuple[TopicVersion, ...]
    age_us: int
    is_reading: bool


@dataclass(slots=True, frozen=True)
class StatePull:
    """Asks a host for the topics that are newer than these versions."""

    versions: tuple[TopicVersion, ...]


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """The newest value of a key of a topic."""

    key: str
    payload: bytes
    offset: int


@dataclass(slots=True, frozen=True)
class TopicCopy:
    """What changed in a topic from `base_version` to `version`.

    `base_version` is -1 for all records. The topic was read up to
    `next_offset`; `key_digest` hashes the keys that remain.
    """

    topic: str
    base_version: int
    version: int
    next_offset: int
    records: tuple[KeyedRecord, ...]
    removed: tuple[str, ...]
    key_digest: int


@dataclass(slots=True, frozen=True)
class StateCopy:
    """Answer to `StatePull`."""

    topics: tuple[TopicCopy, ...]


FleetMessage = (
    Ping
    | Ack
    | PingRequest
    | HostRumor
    | SlotRequest
    | SlotGrant
    | SlotQueued
    | SlotRefused
    | SlotCancel
    | TurnedAway
    | SlotReport
    | ChargeRequest
    | ChargeResult
    | MeterHandover
    | EvidenceDigest
    | HostAnnounced
    | StateNotice
    | StatePull
    | StateCopy
)


@dataclass(slots=True, frozen=True)
class SendHost:
    """Effect: send a message to a host, perhaps this one."""

    host_id: str
    message: FleetMessage
