"""Destinations of an answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from foxtailreach.daemon.pipes import CreditWindow
from foxtailreach.rpc.frames import Answer, AnswerChunk, AnswerCut, Frame


class AnswerSink(Protocol):
    """Destination of one answer: a caller or another host."""

    on_ready: Callable[[], None] | None

    @property
    def is_ready(self) -> bool:
        """Whether the producer may send a chunk now."""

    def start(self, answer: Answer) -> None:
        """Take the status line, headers and perhaps the whole body."""

    def chunk(self, body: bytes, *, is_last: bool) -> None:
        """Take a part of the body."""

    def cut(self) -> None:
        """Abort the answer, whose body stays incomplete."""


class PeerSink:
    """Sends an answer to the host that handed the request off."""

    __slots__ = ('_request_id', '_send', 'on_ready', 'window')

    def __init__(self, request_id: str, send: Callable[[Frame], None]) -> None:
        """Create a sink that sends frames with `send`."""
        self._request_id = request_id
        self._send = send
        self.window = CreditWindow()
        self.window.on_open = self._window_opened
        self.on_ready: Callable[[], None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the receiver granted more bytes."""
        return self.window.is_open

    def start(self, answer: Answer) -> None:
        """Send the head of the answer."""
        self._send(answer)

    def chunk(self, body: bytes, *, is_last: bool) -> None:
        """Send a part of the body."""
        self.window.spend(len(body))
        self._send(AnswerChunk(self._request_id, body, is_last))

    def cut(self) -> None:
        """Tell the receiver that the answer stays incomplete."""
        self._send(AnswerCut(self._request_id))

    def _window_opened(self) -> None:
        if self.on_ready is not None:
            self.on_ready()
