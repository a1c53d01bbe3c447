"""Effects returned by a node, carried out by the daemon or a test driver."""

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

    `must_connect` forbids reusing a connection, because the HTTP client may
    silently send the request again if a reused connection turns out to be
    dead.
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
    """Answer the caller with a refusal."""

    request_id: str
    refusal: Refusal


@dataclass(slots=True, frozen=True)
class AbortAnswer:
    """Abort an answer that was started but cannot be completed."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FinishRequest:
    """Record that a caller has the complete answer."""

    request_id: str
    verdict: Verdict
    service: str
    customer: str
    latency_us: int


@dataclass(slots=True, frozen=True)
class SpreadGossip:
    """Spread a gossip update; the node itself turns this into messages.

    `is_relayed` is true on hosts that received the update from another one.
    """

    gossip_update: GossipUpdate
    is_relayed: bool = False


@dataclass(slots=True, frozen=True)
class AppendRecord:
    """Append a record to the platform's log."""

    payload: bytes


@dataclass(slots=True, frozen=True)
class Note:
    """Log a change of state."""

    name: str
    subject: str
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Stopped:
    """Tell the driver that all work is done and the process may exit."""


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
