"""Messages between hosts; `foxtailreach.rpc.codec` maps them to thrift.

In a handoff and the messages about it, `request_id` identifies the handoff,
not only the caller's request; see `PendingRequest.handoff_id`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from foxtailreach.core.verdict import Reason, Verdict


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One host in the platform's host list.

    `capacity` is its processor time in hundredths of a core; 0 if unknown.
    """

    host_id: str
    domain: str
    address: str
    peer_port: int
    is_leaving: bool = False
    capacity: int = 0


@dataclass(slots=True, frozen=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Request line, sanitized headers and the body, if small and complete.

    `body_length` is -1 for a streamed body of unknown length.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    body_length: int = 0

    @property
    def is_streamed(self) -> bool:
        """Tell whether the body is sent in separate chunks."""
        return self.body_length != len(self.body)


@dataclass(slots=True, frozen=True)
class PoolLoad:
    """Load of a pool as observed `age_us` before the message was sent."""

    pool_id: str
    slots: int
    busy: int
    queued: int
    service_us: int
    age_us: int


@dataclass(slots=True, frozen=True)
class Handoff:
    """Asks a pool's owner to run a request that was admitted.

    `queue_left_us` limits the total time in the queues of all pools tried.
    """

    head: RequestHead
    pool_id: str
    customer: str
    weight: int
    duration: str
    idempotent: bool
    fingerprint: int
    deadline_left_us: int
    queue_left_us: int
    origin: str
    forwards_left: int
    retries_left: int
    loads: tuple[PoolLoad, ...] = ()


@dataclass(slots=True, frozen=True)
class Forwarded:
    """Tells the origin that another owner now has its request."""

    request_id: str
    host_id: str


@dataclass(slots=True, frozen=True)
class HandoffResult:
    """Final outcome of a handoff, after the answer's last byte."""

    request_id: str
    verdict: Verdict
    reason: Reason | None
    retry_after_us: int = 0
    loads: tuple[PoolLoad, ...] = ()


@dataclass(slots=True, frozen=True)
class CancelHandoff:
    """Asks to cancel a request, if it can still be cancelled.

    Its caller is gone or its deadline has passed.
    """

    request_id: str


@dataclass(slots=True, frozen=True)
class Ping:
    """Heartbeat with the position and age of the sender's copy of the log.

    `view_digest` hashes what the sender knows of the hosts that watch each
    other closely; 0 if there are none.
    """

    sequence: int
    incarnation: int
    log_offset: int
    log_age_us: int
    on_behalf_of: str = ''
    view_digest: int = 0


@dataclass(slots=True, frozen=True)
class Ack:
    """Answer to a ping; `subject` is the host that is alive.

    `view_digest` is that of the subject, see `Ping`.
    """

    sequence: int
    subject: str
    incarnation: int
    log_offset: int
    log_age_us: int
    view_digest: int = 0


@dataclass(slots=True, frozen=True)
class PingRequest:
    """Asks another host to ping `subject` for the sender."""

    subject: str


class Liveness(enum.StrEnum):
    """Liveness of a host as reported by itself or by others."""

    UP = 'up'
    LEAVING = 'leaving'
    DOWN = 'down'


@dataclass(slots=True, frozen=True)
class HostRumor:
    """Gossip update: the liveness of a host changed."""

    host_id: str
    incarnation: int
    liveness: Liveness


@dataclass(slots=True, frozen=True)
class CrashRumor:
    """Gossip update: a target crashed while it ran a request.

    An empty `target` withdraws earlier reports of this fingerprint, because
    the request was answered.
    """

    fingerprint: int
    target: str
    report_id: str


@dataclass(slots=True, frozen=True)
class TokenRequest:
    """Asks a partition holder for tokens of a customer's bucket.

    `seat` is the index of the quota partition.
    """

    customer: str
    want: int
    sequence: int
    seat: int


@dataclass(slots=True, frozen=True)
class TokenGrant:
    """Tokens that may be spent for `valid_us` after the request was sent.

    If `granted` is zero, the holder's bucket is empty for about
    `retry_after_us`. `is_holder` is false if the sender does not hold the
    quota partition `seat`.
    """

    customer: str
    sequence: int
    seat: int
    granted: int
    valid_us: int
    retry_after_us: int
    is_holder: bool


@dataclass(slots=True, frozen=True)
class TokenReturn:
    """Returns tokens of a grant that were not spent."""

    customer: str
    seat: int
    sequence: int
    count: int


@dataclass(slots=True, frozen=True)
class LogRecord:
    """One record of the platform's log."""

    offset: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class LogBatch:
    """Records relayed between hosts, contiguous from the first offset."""

    records: tuple[LogRecord, ...]
    log_age_us: int


@dataclass(slots=True, frozen=True)
class LogPull:
    """Asks a host for the records from `next_offset` on."""

    next_offset: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """State of a host that has applied more of the log."""

    payload: bytes
    next_offset: int
    log_age_us: int
    hosts: tuple[HostEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class TargetAllowance:
    """Concurrency allowed at a target when its pool was handed over."""

    target: str
    allowed: int
    in_flight: int


@dataclass(slots=True, frozen=True)
class PoolHandover:
    """Hands a pool over from the host that releases it to the next owner."""

    pool_id: str
    allowances: tuple[TargetAllowance, ...]


GossipUpdate = HostRumor | CrashRumor | LogBatch

PeerMessage = (
    Handoff
    | Forwarded
    | HandoffResult
    | CancelHandoff
    | Ping
    | Ack
    | PingRequest
    | HostRumor
    | CrashRumor
    | TokenRequest
    | TokenGrant
    | TokenReturn
    | LogBatch
    | LogPull
    | Snapshot
    | PoolHandover
)
