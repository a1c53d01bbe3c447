"""Frames that carry request and response bodies between hosts."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.core.messages import Header, PeerMessage


@dataclass(slots=True, frozen=True)
class Hello:
    """First frame of a connection: identifies the connecting host."""

    host_id: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Status line and headers of a response.

    If `is_whole`, `body` holds the whole body; otherwise chunks follow.
    """

    request_id: str
    status: int
    phrase: str
    headers: tuple[Header, ...]
    body: bytes
    is_whole: bool


@dataclass(slots=True, frozen=True)
class AnswerChunk:
    """A part of a response body."""

    request_id: str
    body: bytes
    is_last: bool


@dataclass(slots=True, frozen=True)
class AnswerCut:
    """The response ends here, incomplete."""

    request_id: str


@dataclass(slots=True, frozen=True)
class BodyChunk:
    """A part of a request body."""

    request_id: str
    body: bytes
    is_last: bool


@dataclass(slots=True, frozen=True)
class Credit:
    """Flow control: lets the sender of a body send `size_bytes` more."""

    request_id: str
    is_answer: bool
    size_bytes: int


Frame = (
    PeerMessage | Hello | Answer | AnswerChunk | AnswerCut | BodyChunk | Credit
)
