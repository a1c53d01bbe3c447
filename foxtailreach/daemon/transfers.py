"""Transfer of bodies between this host, callers, targets and other hosts.

A handoff id names one handoff of a request to the owner of a pool.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foxtailreach.core.entry import request_of_handoff
from foxtailreach.core.messages import Handoff
from foxtailreach.daemon.edge import Exchange
from foxtailreach.daemon.pipes import (
    BodyPipe,
    CreditWindow,
    PipeBrokenError,
)
from foxtailreach.daemon.sinks import AnswerSink, PeerSink
from foxtailreach.rpc import frames

SendFrame = Callable[[str, frames.Frame], None]


class LocalSink:
    """Sends an answer to a caller of this host.

    It ignores the answer once the request was handed off again.
    """

    __slots__ = ('_exchange', '_handoff_id')

    def __init__(self, exchange: Exchange, handoff_id: str) -> None:
        """Create a sink for one handoff of the exchange's request."""
        self._exchange = exchange
        self._handoff_id = handoff_id

    @property
    def on_ready(self) -> Callable[[], None] | None:
        """Callback for when the caller can take more bytes."""
        return self._exchange.on_ready

    @on_ready.setter
    def on_ready(self, callback: Callable[[], None] | None) -> None:
        if self._is_current:
            self._exchange.on_ready = callback

    @property
    def is_ready(self) -> bool:
        """Whether the caller reads fast enough to take more bytes."""
        return not self._is_current or self._exchange.is_ready

    def start(self, answer: frames.Answer) -> None:
        """Send the head of the answer."""
        if self._is_current:
            self._exchange.start(answer)

    def chunk(self, body: bytes, *, is_last: bool) -> None:
        """Send a part of the body."""
        if self._is_current:
            self._exchange.chunk(body, is_last=is_last)

    def cut(self) -> None:
        """Abort the answer, whose body stays incomplete."""
        if self._is_current:
            self._exchange.cut()

    @property
    def _is_current(self) -> bool:
        return self._exchange.handoff_id == self._handoff_id


class NullSink:
    """Discards the answer to a caller that has disconnected."""

    on_ready: Callable[[], None] | None = None
    is_ready = True

    def start(self, answer: frames.Answer) -> None:
        """Ignore the head."""

    def chunk(self, body: bytes, *, is_last: bool) -> None:
        """Ignore a part of the body."""

    def cut(self) -> None:
        """Ignore that the answer was aborted."""


class Transfers:
    """Pipes, credit windows and sinks of all handoffs, by handoff id."""

    __slots__ = (
        '_body_senders',
        '_exchanges',
        '_host_id',
        '_pipes',
        '_send',
        '_sinks',
        '_windows',
    )

    def __init__(self, host_id: str, send: SendFrame) -> None:
        """Create an empty table; `send` sends a frame to a host."""
        self._host_id = host_id
        self._send = send
        self._exchanges: dict[str, Exchange] = {}
        self._pipes: dict[str, BodyPipe] = {}
        self._windows: dict[str, CreditWindow] = {}
        self._sinks: dict[str, PeerSink] = {}
        self._body_senders: dict[str, asyncio.Task[None]] = {}

    @property
    def open_exchanges(self) -> int:
        """Number of unfinished requests of callers."""
        return len(self._exchanges)

    def register(self, exchange: Exchange) -> None:
        """Register a caller's exchange."""
        self._exchanges[exchange.request_id] = exchange

    def unregister(self, exchange: Exchange) -> None:
        """Remove a caller's exchange and stop sending its body."""
        self._exchanges.pop(exchange.request_id, None)
        window = self._windows.pop(exchange.handoff_id, None)
        if window is not None:
            window.close()

    def exchange(self, request_id: str) -> Exchange | None:
        """Return an exchange by the caller's request id."""
        return self._exchanges.get(request_id)

    def start_handoff(self, handoff: Handoff, host_id: str) -> None:
        """Set a request's current handoff; send a streamed body to the owner.

        Does nothing for a request that came from another host.
        """
        handoff_id = handoff.head.request_id
        exchange = self._exchanges.get(request_of_handoff(handoff_id))
        if exchange is None or handoff.origin != self._host_id:
            return
        exchange.handoff_id = handoff_id
        if handoff.head.is_streamed and exchange.body is not None:
            window = CreditWindow()
            self._windows[handoff_id] = window
            coroutine = self._send_body(
                handoff_id, host_id, exchange.body, window
            )
            self._body_senders[handoff_id] = asyncio.ensure_future(coroutine)

    def accept_handoff(self, handoff: Handoff, sender: str) -> None:
        """Prepare to receive the streamed body of a handed-off request."""
        if handoff.head.is_streamed:
            handoff_id = handoff.head.request_id
            pipe = BodyPipe()
            pipe.on_drained = self._body_credit_callback(handoff_id, sender)
            self._pipes[handoff_id] = pipe

    def end_handoff(self, handoff_id: str) -> None:
        """Drop the body of a handed-off request."""
        pipe = self._pipes.pop(handoff_id, None)
        if pipe is not None:
            pipe.mark_broken()

    def body_of(self, handoff_id: str, origin: str) -> BodyPipe | None:
        """Return the streamed body of a request."""
        if origin != self._host_id:
            return self._pipes.get(handoff_id)
        exchange = self._exchanges.get(request_of_handoff(handoff_id))
        return None if exchange is None else exchange.body

    def open_sink(self, handoff_id: str, origin: str) -> AnswerSink:
        """Create the destination of the answer to a request."""
        if origin != self._host_id:
            sink = PeerSink(handoff_id, lambda frame: self._send(origin, frame))
            self._sinks[handoff_id] = sink
            return sink
        exchange = self._exchanges.get(request_of_handoff(handoff_id))
        if exchange is None:
            return NullSink()
        exchange.handoff_id = handoff_id
        return LocalSink(exchange, handoff_id)

    def close_sink(self, handoff_id: str) -> None:
        """Remove the sink of a finished attempt."""
        self._sinks.pop(handoff_id, None)

    def receive(self, sender: str, frame: frames.Frame) -> None:
        """Handle a frame that carries a body, an answer or a credit."""
        match frame:
            case frames.BodyChunk(request_id=handoff_id):
                pipe = self._pipes.get(handoff_id)
                if pipe is not None:
                    pipe.feed(frame.body, is_last=frame.is_last)
            case frames.Credit(request_id=handoff_id, is_answer=True):
                sink = self._sinks.get(handoff_id)
                if sink is not None:
                    sink.window.grant(frame.size_bytes)
            case frames.Credit(request_id=handoff_id):
                window = self._windows.get(handoff_id)
                if window is not None:
                    window.grant(frame.size_bytes)
            case _:
                self._receive_answer(sender, frame)

    def _receive_answer(self, sender: str, frame: frames.Frame) -> None:
        match frame:
            case frames.Answer(request_id=handoff_id):
                exchange = self._current_exchange(handoff_id)
                if exchange is None:
                    return
                if not frame.is_whole:
                    exchange.on_answer_drained = self._answer_credit_callback(
                        handoff_id,
                        sender,
                    )
                exchange.start(frame)
            case frames.AnswerChunk(request_id=handoff_id):
                exchange = self._current_exchange(handoff_id)
                if exchange is not None:
                    exchange.chunk(frame.body, is_last=frame.is_last)
            case frames.AnswerCut(request_id=handoff_id):
                exchange = self._current_exchange(handoff_id)
                if exchange is not None:
                    exchange.cut()
            case _:
                return

    def _current_exchange(self, handoff_id: str) -> Exchange | None:
        exchange = self._exchanges.get(request_of_handoff(handoff_id))
        if exchange is None or exchange.handoff_id != handoff_id:
            return None
        return exchange

    def _body_credit_callback(
        self,
        handoff_id: str,
        sender: str,
    ) -> Callable[[int], None]:
        return lambda size_bytes: self._send(
            sender,
            frames.Credit(handoff_id, is_answer=False, size_bytes=size_bytes),
        )

    def _answer_credit_callback(
        self,
        handoff_id: str,
        sender: str,
    ) -> Callable[[int], None]:
        return lambda size_bytes: self._send(
            sender,
            frames.Credit(handoff_id, is_answer=True, size_bytes=size_bytes),
        )

    async def _send_body(
        self,
        handoff_id: str,
        host_id: str,
        body: BodyPipe,
        window: CreditWindow,
    ) -> None:
        try:
            while not window.is_closed:
                chunk = await body.read()
                await window.wait_open()
                window.spend(len(chunk))
                frame = frames.BodyChunk(handoff_id, chunk, is_last=not chunk)
                self._send(host_id, frame)
                if not chunk:
                    break
        except PipeBrokenError:
            return
        finally:
            self._body_senders.pop(handoff_id, None)
