"""Connections to other hosts and the frames on them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from foxtailreach.exceptions import ProtocolError
from foxtailreach.rpc.codec import FrameDecoder, encode_frame
from foxtailreach.rpc.frames import Frame, Hello

CONNECT_TIMEOUT_S = 0.3
READ_BYTES = 65536
MAX_UNSENT_FRAMES = 10_000


@dataclass(slots=True)
class Link:
    """Open connections to one host and frames that wait for one."""

    streams: list[IOStream] = field(default_factory=list)
    waiting: list[Frame] = field(default_factory=list)
    is_connecting: bool = False


@dataclass(slots=True, frozen=True)
class LinkEvents:
    """Where links deliver what happens on them."""

    received: Callable[[str, Frame], None]
    unsent: Callable[[str, Frame], None]
    disconnected: Callable[[str], None]
    locate: Callable[[str], tuple[str, int] | None]


class PeerLinks(TCPServer):
    """Listens for hosts and dials them; frames carry their sender."""

    def __init__(self, hello: Hello, link_events: LinkEvents) -> None:
        """Create links that introduce themselves with `hello`."""
        super().__init__()
        self._hello = hello
        self._events = link_events
        self._links: dict[str, Link] = {}
        self._client = TCPClient()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unsent: dict[IOStream, list[bytes]] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.is_closed = False

    def send(self, host_id: str, frame: Frame) -> None:
        """Send a frame, connecting first if needed."""
        if self.is_closed:
            return
        link = self._links.setdefault(host_id, Link())
        if link.streams:
            self._write(link.streams[0], frame)
            return
        link.waiting.append(frame)
        if not link.is_connecting:
            link.is_connecting = True
            self._spawn(self._dial(host_id, link))

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Serve a connection that another host opened."""
        await self._read_frames(stream, '')

    def close(self) -> None:
        """Close all connections."""
        self.is_closed = True
        self.stop()
        for link in self._links.values():
            for stream in list(link.streams):
                stream.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, host_id: str, link: Link) -> None:
        stream = await self._connect(host_id)
        link.is_connecting = False
        waiting, link.waiting = link.waiting, []
        if stream is None:
            for frame in waiting:
                self._events.unsent(host_id, frame)
            return
        self._write(stream, self._hello)
        link.streams.append(stream)
        for frame in waiting:
            self._write(link.streams[0], frame)
        await self._read_frames(stream, host_id)

    async def _connect(self, host_id: str) -> IOStream | None:
        address = self._events.locate(host_id)
        if address is None:
            return None
        try:
            return await self._client.connect(
                *address,
                timeout=CONNECT_TIMEOUT_S,
            )
        except (TimeoutError, OSError, StreamClosedError) as error:
            logger.debug('cannot connect to host {}: {}', host_id, error)
            return None

    async def _read_frames(self, stream: IOStream, host_id: str) -> None:
        stream.set_nodelay(True)
        decoder = FrameDecoder()
        try:
            while True:
                chunk = await stream.read_bytes(READ_BYTES, partial=True)
                self.received_bytes += len(chunk)
                for frame in decoder.feed(chunk):
                    host_id = self._dispatch(stream, host_id, frame)
        except StreamClosedError:
            pass
        except ProtocolError as error:
            logger.warning('closing the connection to {}: {}', host_id, error)
        finally:
            self._drop(stream, host_id)

    def _dispatch(self, stream: IOStream, host_id: str, frame: Frame) -> str:
        if isinstance(frame, Hello):
            link = self._links.setdefault(frame.host_id, Link())
            link.streams.append(stream)
            return frame.host_id
        if not host_id:
            raise ProtocolError('the first frame must be a hello')
        self._events.received(host_id, frame)
        return host_id

    def _write(self, stream: IOStream, frame: Frame) -> None:
        """Collect the frames of one loop iteration into one write."""
        payload = encode_frame(frame)
        self.sent_bytes += len(payload)
        unsent = self._unsent.get(stream)
        if unsent is None:
            self._unsent[stream] = [payload]
            asyncio.get_running_loop().call_soon(self._flush, stream)
        else:
            unsent.append(payload)

    def _flush(self, stream: IOStream) -> None:
        payload = b''.join(self._unsent.pop(stream))
        with contextlib.suppress(StreamClosedError):
            future = stream.write(payload)
            future.add_done_callback(_retrieve)

    def _drop(self, stream: IOStream, host_id: str) -> None:
        stream.close()
        link = self._links.get(host_id)
        if link is None or stream not in link.streams:
            return
        link.streams.remove(stream)
        if not self.is_closed:
            self._events.disconnected(host_id)


def _retrieve(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()
