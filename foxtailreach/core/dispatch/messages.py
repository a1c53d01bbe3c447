"""Messages between the hosts of a fleet.

A host that has a request obtains a slot from the broker of the service, sends
the request to the granted target itself, and reports the outcome. The schema
is `foxtailreach/rpc/fleet.thrift`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import xxhash

from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.placement_messages import PlacementReport
from foxtailreach.core.dispatch.pool_messages import (
    CrashedTargets,
    PoolStatus,
    SlotReferral,
    SlotScope,
)
from foxtailreach.core.messages import (
    Ack,
    HostEntry,
    HostRumor,
    Ping,
    PingRequest,
)


class SendOutcome(enum.StrEnum):
    """Outcome of sending a request to a target.

    `FAILED` is a server error, `LOST` a broken connection or an invalid answer.
    After `SHED` (the target declined the request), `MISDIRECTED` (another
    target has the address), `UNREACHABLE` (no connection) and `WITHHELD` (the
    sender knew that the target leaves or pauses) the request has not run.
    `ABANDONED` means that the sender cancelled the request.
    """

    SERVED = 'served'
    FAILED = 'failed'
    LOST = 'lost'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    MISDIRECTED = 'misdirected'
    TIMED_OUT = 'timed-out'
    ABANDONED = 'abandoned'
    WITHHELD = 'withheld'


class RefusalCause(enum.StrEnum):
    """Why a broker does not grant a slot.

    `PAUSED`: all targets of the service have asked for a pause. `NO_SPARE`: a
    pool has no slots to spare for requests of other domains.
    """

    NO_TARGET = 'no-target'
    OVERLOAD = 'overload'
    REPEAT_BUDGET = 'repeat-budget'
    QUARANTINED = 'quarantined'
    NOT_READY = 'not-ready'
    PAUSED = 'paused'
    NO_SPARE = 'no-spare'


class Admission(enum.StrEnum):
    """Whether a request is within the limit, in its tolerance, or beyond.

    `NOT_OWNER` means that the host does not hold the customer's meter.
    """

    WITHIN_LIMIT = 'owed'
    SURPLUS = 'surplus'
    REFUSED = 'refused'
    NOT_OWNER = 'not-owner'


def classify_request(route: str, method: bytes) -> int:
    """Return the class of a request: its route and method, as 31 bits.

    It is never 0, which stands for an unknown class.
    """
    digest = xxhash.xxh32(route.encode())
    digest.update(method)
    return int(digest.intdigest() >> 1) or 1


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """Requests a slot on a target of a service.

    `time_left_us` (until the deadline) and `objective_left_us` count from the
    time of sending; the latter may be negative. `is_repeat` marks a retry;
    `may_repeat` means that the request may be retried if it fails.
    `connected` lists the targets to which the sender has an idle connection,
    `excluded` those that it must not get. Requests of the same `request_class`
    (see `classify_request`) are expected to cost about the same; 0 is unknown.
    `service_name` names a pool, see `Pool`, here and in other messages.
    `customer` is '' on an open route.
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
    customer: str = ''
    request_class: int = 0
    body_bytes: int = 0
    scope: SlotScope = SlotScope.FINAL


@dataclass(slots=True, frozen=True)
class PlacementQuery:
    """Asks what a request from a failure domain would get, without sending it.

    It changes nothing at the broker.
    """

    ask_id: int
    domain: str
    request: SlotRequest


@dataclass(slots=True, frozen=True)
class SlotGrant:
    """Grants a slot for one request on a target.

    `proven_age_us` is the age of the target's last success; -1 if the target
    is unproven. The broker granted by a list of targets that it has known to be
    the same since `state_version`, an offset with the era of the store (see
    `foxtailreach.core.dispatch.eras.state_version`); -1 if it never got one.
    """

    ask_id: int
    target_id: str
    address: str
    port: int
    started_ms: int
    proven_age_us: int
    state_version: int = -1


@dataclass(slots=True, frozen=True)
class SlotQueued:
    """Confirms that a request waits in the queue of the broker.

    `wait_us` is the mean service time.
    """

    ask_id: int
    wait_us: int


@dataclass(slots=True, frozen=True)
class SlotRefused:
    """Refuses a slot; the caller may retry after `retry_after_us`."""

    ask_id: int
    cause: RefusalCause
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class SlotCancel:
    """Withdraws a request for a slot; a granted slot was not used."""

    ask_id: int
    service_name: str


@dataclass(slots=True, frozen=True)
class SlotCheck:
    """Asks whether the receiver still holds slots that were granted to it."""

    service_name: str
    ask_ids: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class TurnedAway:
    """Informs a broker of a request that was refused without a slot request."""

    service_name: str


@dataclass(slots=True, frozen=True)
class SlotReport:
    """Releases a slot and reports the outcome of its request.

    `is_leaving` and `pause_us` are what the target has told the sender: that
    it is about to leave, and how long from now on it wants no requests.
    """

    ask_id: int
    service_name: str
    target_id: str
    started_ms: int
    outcome: SendOutcome
    latency_us: int
    fingerprint: int
    is_leaving: bool = False
    pause_us: int = 0
    request_class: int = 0
    body_bytes: int = 0
    answer_bytes: int = 0


@dataclass(slots=True, frozen=True)
class ChargeRequest:
    """Charges one request to the limit of a customer.

    The same `ask_id` renews the earlier admission. `is_retry` marks a further
    send of a request that was admitted with another `ask_id`.
    """

    ask_id: int
    customer: str
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class ChargeResult:
    """Answers a `ChargeRequest`."""

    ask_id: int
    admission: Admission
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class ChargeCancel:
    """Withdraws the charge of a request that was not sent."""

    ask_id: int
    customer: str


@dataclass(slots=True, frozen=True)
class MeterEntry:
    """One admission, and its age at the time of sending."""

    key: int
    age_us: int
    is_retry: bool


@dataclass(slots=True, frozen=True)
class MeterCopy:
    """Copies admissions to another host that may meter the customer.

    `cancelled` are the keys of withdrawn admissions. A copy of a whole meter
    has `total` entries, in one or more messages, and holds all admissions of
    the last `known_us`. Both are 0, and `is_whole` false, if only changes are
    copied.
    """

    customer: str
    entries: tuple[MeterEntry, ...]
    cancelled: tuple[int, ...]
    known_us: int
    total: int
    is_whole: bool = False


@dataclass(slots=True, frozen=True)
class MeterRequest:
    """Asks for all admissions of a customer that the receiver knows.

    It is answered by copies of the whole meter, also of an empty one.
    """

    customer: str


@dataclass(slots=True, frozen=True)
class TargetEvidence:
    """Ages of a target's last success and last failure; -1 if none.

    `slowness_permille` is how long the target takes for a request, relative to
    the estimate of its class: 1000 is as expected, 0 unknown.
    """

    target_id: str
    served_age_us: int
    failed_age_us: int
    slowness_permille: int = 0


@dataclass(slots=True, frozen=True)
class ClassCost:
    """Estimated service time and answer size of one class of requests.

    `tail_permille` is the share of requests that take several times the mean;
    `samples` is the number of answers that the estimate rests on.
    """

    request_class: int
    mean_us: int
    deviation_us: int
    tail_permille: int
    answer_bytes: int
    samples: int


@dataclass(slots=True, frozen=True)
class EvidenceDigest:
    """A broker's evidence on its targets, for hosts that may replace it."""

    service_name: str
    entries: tuple[TargetEvidence, ...]
    costs: tuple[ClassCost, ...] = ()
    crashes: tuple[CrashedTargets, ...] = ()


@dataclass(slots=True, frozen=True)
class HostAnnounced:
    """Introduces a host to one that may not know it."""

    entry: HostEntry
    incarnation: int


@dataclass(slots=True, frozen=True)
class LivenessTable:
    """What the sender knows of the hosts that watch each other closely."""

    entries: tuple[HostRumor, ...]


@dataclass(slots=True, frozen=True)
class HostUnknown:
    """Asks a host that is not known here to announce itself.

    `host_id` is the host that asks.
    """

    host_id: str


@dataclass(slots=True, frozen=True)
class TopicVersion:
    """Content of one mirrored topic, by offsets of the store.

    The topic was read up to `next_offset`; none of its records from
    `changed_offset` on is a change. `digest` hashes all keys and values. The
    offsets are -1 if the topic was never read. Offsets of different eras of the
    store cannot be compared.
    """

    topic: str
    changed_offset: int
    next_offset: int
    digest: int
    era: int = 0


@dataclass(slots=True, frozen=True)
class StateNotice:
    """Announces the versions of the sender's state.

    `age_us` is -1 if the state was never read; `is_reading` tells that the
    sender reads the platform. `cut_off` are the failure domains from which
    the sender has heard nothing for too long. The sender has read the log of
    targets up to `log_offset`; -1 if it does not read it. It has known of all
    changes of the configuration `confirmed_age_us` ago; -1 if never.
    """

    versions: tuple[TopicVersion, ...]
    age_us: int
    is_reading: bool
    cut_off: tuple[str, ...] = ()
    log_offset: int = -1
    confirmed_age_us: int = -1


@dataclass(slots=True, frozen=True)
class StatePull:
    """Requests the changes in all topics since these versions."""

    versions: tuple[TopicVersion, ...]


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """Latest value of a key of a topic; an empty payload removes the key."""

    key: str
    payload: bytes
    offset: int


@dataclass(slots=True, frozen=True)
class TopicCopy:
    """Changes of a topic since `base_offset`; see `TopicVersion`.

    A `base_offset` of -1 means that all records are included. `digest` hashes
    all keys and values after the change.
    """

    topic: str
    base_offset: int
    changed_offset: int
    next_offset: int
    records: tuple[KeyedRecord, ...]
    removed: tuple[str, ...]
    digest: int
    era: int = 0

    @property
    def version(self) -> TopicVersion:
        """Version of the topic after the change."""
        return TopicVersion(
            self.topic,
            self.changed_offset,
            self.next_offset,
            self.digest,
            self.era,
        )


@dataclass(slots=True, frozen=True)
class StateCopy:
    """Answers a `StatePull`.

    The targets `retained` may have expired in an outage of the store; they are
    used for `retained_for_us` more unless they are renewed. The sender has
    known of all changes of the configuration `confirmed_age_us` ago; -1 if
    never.
    """

    topics: tuple[TopicCopy, ...]
    retained: tuple[str, ...] = ()
    retained_for_us: int = 0
    confirmed_age_us: int = -1


FleetMessage = (
    Ping
    | Ack
    | PingRequest
    | HostRumor
    | SlotRequest
    | SlotGrant
    | SlotQueued
    | SlotRefused
    | SlotReferral
    | PoolStatus
    | SlotCancel
    | SlotCheck
    | TurnedAway
    | SlotReport
    | ChargeRequest
    | ChargeResult
    | ChargeCancel
    | MeterCopy
    | MeterRequest
    | LivenessTable
    | EvidenceDigest
    | HostAnnounced
    | HostUnknown
    | StateNotice
    | StatePull
    | StateCopy
    | PlacementQuery
    | PlacementReport
)


@dataclass(slots=True, frozen=True)
class SendHost:
    """Effect: send a message to a host, which may be this one."""

    host_id: str
    message: FleetMessage
