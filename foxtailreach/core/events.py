"""Events handled by a node."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from foxtailreach.core.messages import (
    HostEntry,
    LogRecord,
    PeerMessage,
    RequestHead,
)


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """A request read from a caller; `key` is empty when none was sent."""

    head: RequestHead
    key: str
    fingerprint: int
    timeout_us: int | None = None


@dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller closed its connection before the answer was complete."""

    request_id: str


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """The first byte of an answer went out to the caller."""

    request_id: str


@dataclass(slots=True, frozen=True)
class PeerReceived:
    """A message from another host."""

    sender: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class PeerUnsent:
    """A message that certainly never left this host."""

    host_id: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """The connection to a host broke; sent messages may be lost."""

    host_id: str


@dataclass(slots=True, frozen=True)
class AttemptHead:
    """A target's status line and headers arrived."""

    attempt_id: int
    status: int


class AttemptOutcome(enum.StrEnum):
    """How an attempt at a target ended."""

    COMPLETE = 'complete'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    PARTIAL = 'partial'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; `was_sent` is false if no byte left this host."""

    attempt_id: int
    outcome: AttemptOutcome
    was_sent: bool


@dataclass(slots=True, frozen=True)
class LogRead:
    """Records read from the platform's log, in order.

    `first_offset` is that of the oldest record in the log, and `next_offset`
    is the one after its newest record.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@dataclass(slots=True, frozen=True)
class LogFailed:
    """The platform's log could not be read."""


@dataclass(slots=True, frozen=True)
class HostsListed:
    """The platform's host list."""

    hosts: tuple[HostEntry, ...]


@dataclass(slots=True, frozen=True)
class Tick:
    """Time passed."""


@dataclass(slots=True, frozen=True)
class StopRequested:
    """The process was asked to stop."""


Event = (
    CallerRequest
    | CallerDisconnected
    | AnswerStarted
    | PeerReceived
    | PeerUnsent
    | PeerDisconnected
    | AttemptHead
    | AttemptEnded
    | LogRead
    | LogFailed
    | HostsListed
    | Tick
    | StopRequested
)
