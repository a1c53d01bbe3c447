"""Messages between hosts; `foxtailreach.rpc.codec` maps them to thrift."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from foxtailreach.core.verdict import Reason, Verdict


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One line of the platform's host list."""

    host_id: str
    domain: str
    address: str
    peer_port: int
    is_leaving: bool = False


@dataclass(slots=True, frozen=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The request line, sanitized headers and a small body, if whole.

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
        """Whether the body travels in separate chunks."""
        return self.body_length != len(self.body)


@dataclass(slots=True, frozen=True)
class PoolLoad:
    """Load of one pool as observed `age_us` before the message was sent."""

    pool_id: str
    slots: int
    busy: int
    queued: int
    service_us: int
    age_us: int


@dataclass(slots=True, frozen=True)
class Handoff:
    """Asks a pool's owner to run a request that was already admitted.

    `queue_left_us` bounds the time in queues, over all pools that are tried.
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
    """The caller is gone; stop the request if possible."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Ping:
    """Heartbeat; `log_offset` and `log_age_us` describe the sender's log."""

    sequence: int
    incarnation: int
    log_offset: int
    log_age_us: int
    on_behalf_of: str = ''


@dataclass(slots=True, frozen=True)
class Ack:
    """Answer to a ping; `subject` is the host that is alive."""

    sequence: int
    subject: str
    incarnation: int
    log_offset: int
    log_age_us: int


@dataclass(slots=True, frozen=True)
class PingRequest:
    """Asks another host to ping `subject` for the sender."""

    subject: str


class Liveness(enum.StrEnum):
    """State of a host as told by other hosts."""

    UP = 'up'
    LEAVING = 'leaving'
    DOWN = 'down'


@dataclass(slots=True, frozen=True)
class HostRumor:
    """A change of a host's liveness, spread epidemically."""

    host_id: str
    incarnation: int
    liveness: Liveness


@dataclass(slots=True, frozen=True)
class CrashRumor:
    """A target was lost while it ran the request with this fingerprint.

    An empty `target` withdraws earlier reports: the request succeeded.
    """

    fingerprint: int
    target: str
    report_id: str


@dataclass(slots=True, frozen=True)
class TokenRequest:
    """Asks a holder for tokens of a customer's bucket."""

    customer: str
    want: int
    sequence: int
    seat: int


@dataclass(slots=True, frozen=True)
class TokenGrant:
    """Tokens that may be spent for `valid_us` after the request was sent.

    `granted` of zero means that the holder's bucket is empty for about
    `retry_after_us`; `is_holder` is false when the seat is not held there.
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
    """Gives back tokens of a grant that were not spent."""

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
    """Asks a host for the records that follow `next_offset`."""

    next_offset: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The folded configuration of a host that is further ahead."""

    payload: bytes
    next_offset: int
    log_age_us: int
    hosts: tuple[HostEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class TargetAllowance:
    """Concurrency that a handed-over target was known to bear."""

    target: str
    allowed: int
    in_flight: int


@dataclass(slots=True, frozen=True)
class PoolHandover:
    """A stopping owner passes a pool to its successor."""

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
