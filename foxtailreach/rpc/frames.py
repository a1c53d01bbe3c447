"""Frames that carry request and answer bodies between daemons."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.core.messages import Header, PeerMessage


@dataclass(slots=True, frozen=True)
class Hello:
    """First frame of a connection; names the connecting host."""

    host_id: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Status line and headers, with the body if it `is_whole`."""

    request_id: str
    status: int
    phrase: str
    headers: tuple[Header, ...]
    body: bytes
    is_whole: bool


@dataclass(slots=True, frozen=True)
class AnswerChunk:
    """A part of an answer's body."""

    request_id: str
    body: bytes
    is_last: bool


@dataclass(slots=True, frozen=True)
class AnswerCut:
    """The rest of an answer will never come."""

    request_id: str


@dataclass(slots=True, frozen=True)
class BodyChunk:
    """A part of a request's body."""

    request_id: str
    body: bytes
    is_last: bool


@dataclass(slots=True, frozen=True)
class Credit:
    """Permits the sender of a body to send `size_bytes` more."""

    request_id: str
    is_answer: bool
    size_bytes: int


Frame = (
    PeerMessage | Hello | Answer | AnswerChunk | AnswerCut | BodyChunk | Credit
)
