"""Connections to other hosts, which carry frames."""

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
class HostConnections:
    """Open connections to one host and frames that wait for one."""

    streams: list[IOStream] = field(default_factory=list)
    waiting: list[Frame] = field(default_factory=list)
    is_connecting: bool = False


@dataclass(slots=True, frozen=True)
class PeerCallbacks:
    """Callbacks of the connections.

    `received` gets each frame with its sender's host id, `unsent` each frame
    that found no connection, `disconnected` the host of a closed connection.
    `find_address` returns a host's address and port, or None.
    """

    received: Callable[[str, Frame], None]
    unsent: Callable[[str, Frame], None]
    disconnected: Callable[[str], None]
    find_address: Callable[[str], tuple[str, int] | None]


class PeerConnections(TCPServer):
    """Connects to other hosts and accepts their connections.

    The first frame on a connection is a hello that names its sender.
    """

    def __init__(self, hello: Hello, callbacks: PeerCallbacks) -> None:
        """Create connections that begin with the frame `hello`."""
        super().__init__()
        self._hello = hello
        self._callbacks = callbacks
        self._connections: dict[str, HostConnections] = {}
        self._client = TCPClient()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unflushed: dict[IOStream, list[bytes]] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.is_closed = False

    def send(self, host_id: str, frame: Frame) -> None:
        """Send a frame, after connecting to the host if necessary."""
        if self.is_closed:
            return
        connections = self._connections.setdefault(host_id, HostConnections())
        if connections.streams:
            self._write(connections.streams[0], frame)
            return
        connections.waiting.append(frame)
        if not connections.is_connecting:
            connections.is_connecting = True
            self._spawn(self._connect_and_read(host_id, connections))

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Read frames from a connection that another host opened."""
        await self._read_frames(stream, '')

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.is_closed = True
        self.stop()
        for connections in self._connections.values():
            for stream in list(connections.streams):
                stream.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_read(
        self, host_id: str, connections: HostConnections
    ) -> None:
        stream = await self._connect(host_id)
        connections.is_connecting = False
        waiting, connections.waiting = connections.waiting, []
        if stream is None:
            for frame in waiting:
                self._callbacks.unsent(host_id, frame)
            return
        self._write(stream, self._hello)
        connections.streams.append(stream)
        for frame in waiting:
            self._write(connections.streams[0], frame)
        await self._read_frames(stream, host_id)

    async def _connect(self, host_id: str) -> IOStream | None:
        address = self._callbacks.find_address(host_id)
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
            self._remove_stream(stream, host_id)

    def _dispatch(self, stream: IOStream, host_id: str, frame: Frame) -> str:
        if isinstance(frame, Hello):
            connections = self._connections.setdefault(
                frame.host_id, HostConnections()
            )
            connections.streams.append(stream)
            return frame.host_id
        if not host_id:
            raise ProtocolError('the first frame must be a hello')
        self._callbacks.received(host_id, frame)
        return host_id

    def _write(self, stream: IOStream, frame: Frame) -> None:
        """Queue a frame; all frames of a loop iteration share one write."""
        payload = encode_frame(frame)
        self.sent_bytes += len(payload)
        payloads = self._unflushed.get(stream)
        if payloads is None:
            self._unflushed[stream] = [payload]
            asyncio.get_running_loop().call_soon(self._flush, stream)
        else:
            payloads.append(payload)

    def _flush(self, stream: IOStream) -> None:
        payload = b''.join(self._unflushed.pop(stream))
        with contextlib.suppress(StreamClosedError):
            future = stream.write(payload)
            future.add_done_callback(_consume_exception)

    def _remove_stream(self, stream: IOStream, host_id: str) -> None:
        stream.close()
        connections = self._connections.get(host_id)
        if connections is None or stream not in connections.streams:
            return
        connections.streams.remove(stream)
        if not self.is_closed:
            self._callbacks.disconnected(host_id)


def _consume_exception(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()
