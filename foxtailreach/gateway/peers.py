"""Messages between hosts: datagrams, and copies of state over TCP."""

from __future__ import annotations

import asyncio
import socket
import zlib
from collections.abc import Callable
from typing import cast

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.core.messages import HostEntry
from foxtailreach.exceptions import ProtocolError
from foxtailreach.rpc.fleet import FLEET_CODEC
from foxtailreach.rpc.mapping import FrameBuffer

LENGTH_BYTES = 4
# A copy of the state within a domain takes about 2 ms.
PULL_TIMEOUT_S = 1.0
# Configurations shrink to about a fifth; a higher level costs more time than
# it saves on a link of 10 Mbit/s.
COMPRESSION_LEVEL = 3
# Hosts of a domain ask for the same changes at the same time.
MAX_PACKED_COPIES = 8
READ_BYTES = 65_536
MAX_COPY_BYTES = 64 * 1024 * 1024

_PULL_ERRORS = (TimeoutError, OSError, StreamClosedError, ProtocolError)

Receive = Callable[[str, messages.FleetMessage], None]
Versions = tuple[messages.TopicVersion, ...]


class PeerEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams; the sender's address names the host."""

    def __init__(self, receive: Receive) -> None:
        """Deliver messages of known hosts to `receive`."""
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, tuple[str, int]] = {}
        self._hosts: dict[tuple[str, int], str] = {}
        self.sent = 0
        self.received = 0

    async def open(self, address: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address, port),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def learn(self, entry: HostEntry) -> None:
        """Remember where a host receives datagrams."""
        address = (entry.address, entry.peer_port)
        self._addresses[entry.host_id] = address
        self._hosts[address] = entry.host_id

    def send(self, host_id: str, message: messages.FleetMessage) -> None:
        """Send a message to a known host; losses are the sender's matter."""
        address = self._addresses.get(host_id)
        if address is not None:
            self.send_to(address, message)

    def send_to(
        self,
        address: tuple[str, int],
        message: messages.FleetMessage,
    ) -> None:
        """Send a message to an address."""
        if self._transport is not None and not self._transport.is_closing():
            self.sent += 1
            self._transport.sendto(FLEET_CODEC.encode(message), address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's class is no subclass of the abstract one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer; the heartbeats notice it."""
        logger.debug('datagram not delivered: {}', exc)

    def datagram_received(
        self,
        data: bytes,  # noqa: WPS110
        addr: tuple[str, int],
    ) -> None:
        """Decode a datagram and deliver it."""
        try:
            message = FLEET_CODEC.decode(data[LENGTH_BYTES:])
        except (ProtocolError, ValueError) as error:
            logger.warning('unreadable datagram from {}: {}', addr, error)
            return
        self.received += 1
        if isinstance(message, messages.HostAnnounced):
            self.learn(message.entry)
        host_id = self._hosts.get(addr)
        if host_id is not None:
            self._receive(host_id, message)


class CopyServer(TCPServer):
    """Hands changes of this host's state to other hosts, compressed."""

    def __init__(self, mirror: StateMirror) -> None:
        """Answer each request with what `mirror` has beyond it."""
        super().__init__()
        self._mirror = mirror
        self._packed: dict[tuple[Versions, Versions], bytes] = {}

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Answer one request and close."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                message = await _read_message(stream)
                if isinstance(message, messages.StatePull):
                    await stream.write(self._pack(message.versions))
        except (TimeoutError, StreamClosedError, ProtocolError) as error:
            logger.debug('state request of {} failed: {!r}', address, error)
        finally:
            stream.close()

    def _pack(self, versions: Versions) -> bytes:
        """Encode the changes since some versions, once for all who ask."""
        key = (versions, self._mirror.versions())
        packed = self._packed.get(key)
        if packed is None:
            copy = messages.StateCopy(self._mirror.deltas_since(versions))
            packed = zlib.compress(FLEET_CODEC.encode(copy), COMPRESSION_LEVEL)
            if len(self._packed) >= MAX_PACKED_COPIES:
                self._packed.clear()
            self._packed[key] = packed
        return packed


async def pull_state(
    address: tuple[str, int],
    pull: messages.StatePull,
) -> messages.StateCopy | None:
    """Fetch newer topics from a host; None if it does not answer."""
    stream = IOStream(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        max_buffer_size=MAX_COPY_BYTES,
    )
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            await stream.connect(address)
            await stream.write(FLEET_CODEC.encode(pull))
            packed = await stream.read_until_close()
            message = _unpack(packed)
    except _PULL_ERRORS as error:
        logger.debug('no copy of the state from {}: {!r}', address, error)
        return None
    finally:
        stream.close()
    return message if isinstance(message, messages.StateCopy) else None


def _unpack(packed: bytes) -> messages.FleetMessage:
    """Decompress one message; raises ProtocolError on anything else."""
    inflater = zlib.decompressobj()
    try:
        frame = inflater.decompress(packed, MAX_COPY_BYTES)
    except zlib.error as error:
        raise ProtocolError(f'malformed copy: {error}') from error
    if not inflater.eof:
        raise ProtocolError('a copy is cut short or too long')
    return FLEET_CODEC.decode(frame[LENGTH_BYTES:])


async def _read_message(stream: IOStream) -> messages.FleetMessage:
    buffer = FrameBuffer(FLEET_CODEC)
    found: list[messages.FleetMessage] = []
    while not found:
        chunk = await stream.read_bytes(READ_BYTES, partial=True)
        found.extend(buffer.feed(chunk))
    return found[0]
