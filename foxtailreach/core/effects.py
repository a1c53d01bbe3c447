"""Outputs of a node, carried out by the daemon or a test driver."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.core.messages import GossipUpdate, PeerMessage, RequestHead
from foxtailreach.core.verdict import Refusal, Verdict


@dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a message to another host."""

    host_id: str
    message: PeerMessage


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a target.

    `must_connect` forbids reusing a connection, because a client may
    resend silently on a reused connection that turns out to be dead.
    """

    attempt_id: int
    head: RequestHead
    customer: str
    origin: str
    target: str
    address: str
    port: int
    deadline_us: int
    must_connect: bool


@dataclass(slots=True, frozen=True)
class RelayAnswer:
    """Pass the attempt's answer on to the origin of the request."""

    attempt_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Abort an attempt."""

    attempt_id: int


@dataclass(slots=True, frozen=True)
class RefuseRequest:
    """Answer the caller in place of a target."""

    request_id: str
    refusal: Refusal


@dataclass(slots=True, frozen=True)
class AbortAnswer:
    """Break off an answer that cannot be completed."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FinishRequest:
    """The caller has its whole answer."""

    request_id: str
    verdict: Verdict
    service: str
    customer: str
    latency_us: int


@dataclass(slots=True, frozen=True)
class SpreadGossip:
    """Tell every host; the node itself turns this into messages.

    `is_relayed` is true on hosts that heard the rumor from another one.
    """

    gossip_update: GossipUpdate
    is_relayed: bool = False


@dataclass(slots=True, frozen=True)
class AppendRecord:
    """Append a record to the platform's log."""

    payload: bytes


@dataclass(slots=True, frozen=True)
class Note:
    """A state change worth a log line."""

    name: str
    subject: str
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Stopped:
    """All work is done; the process may exit."""


Effect = (
    SendPeer
    | StartAttempt
    | RelayAnswer
    | CancelAttempt
    | RefuseRequest
    | AbortAnswer
    | FinishRequest
    | SpreadGossip
    | AppendRecord
    | Note
    | Stopped
)
