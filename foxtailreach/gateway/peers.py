"""Messages between hosts: UDP datagrams, and state copies over TCP."""

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
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.exceptions import ProtocolError
from foxtailreach.gateway.logs import IntervalLimiter
from foxtailreach.gateway.settings import is_usable_address
from foxtailreach.rpc.fleet import FLEET_CODEC
from foxtailreach.rpc.mapping import FrameBuffer

LENGTH_BYTES = 4
# Copying the state within a failure domain takes about 2 ms.
PULL_TIMEOUT_S = 1.0
# zlib level; configurations shrink to about a fifth. A higher level takes more
# time than it saves on a link of 10 Mbit/s.
COMPRESSION_LEVEL = 3
# Hosts of a domain request the same changes at the same time, so encoded
# copies are cached.
MAX_CACHED_COPIES = 8
RETENTION_STEP_US = 250 * MILLISECOND_US
AGE_STEP_US = 100 * MILLISECOND_US
READ_BYTES = 65_536
MAX_ASKED_ADDRESSES = 1000
MAX_COPY_BYTES = 64 * 1024 * 1024

_PULL_ERRORS = (TimeoutError, OSError, StreamClosedError, ProtocolError)

# An unknown host is asked to announce itself once in this time.
ASK_UNKNOWN_INTERVAL_US = 500 * MILLISECOND_US
LOG_MALFORMED_INTERVAL_US = 5 * SECOND_US

Receive = Callable[[str, messages.FleetMessage], None]
Announce = Callable[[], messages.HostAnnounced]
Versions = tuple[messages.TopicVersion, ...]
# Versions of both hosts, the retained targets and their remaining time, and the
# age of the configuration.
CopyKey = tuple[Versions, Versions, tuple[str, ...], int, int]


class PeerEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams; maps sender addresses to host ids.

    A host that is not known is asked to announce itself, so that a host which
    has just started need not announce itself to all others.
    """

    def __init__(self, receive: Receive, announce: Announce) -> None:
        """Deliver messages from known hosts to `receive`."""
        self._receive = receive
        self._announce = announce
        self._asked_us: dict[tuple[str, int], int] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, tuple[str, int]] = {}
        self._host_ids: dict[tuple[str, int], str] = {}
        self.sent = 0
        self.received = 0
        self.malformed = 0
        self._malformed_lines = IntervalLimiter(LOG_MALFORMED_INTERVAL_US)

    async def open(self, address: str, port: int) -> None:
        """Bind the socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((address, port))
        # With an address instead, a thread would be started to look it up.
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def add_host(self, entry: HostEntry) -> None:
        """Store the address of a host, if datagrams can be sent to it.

        The transport closes for good if it is given a malformed address.
        """
        if not is_usable_address(entry.address, entry.peer_port):
            self._record_malformed(f'address of host {entry.host_id!r}')
            return
        address = (entry.address, entry.peer_port)
        self._addresses[entry.host_id] = address
        self._host_ids[address] = entry.host_id

    def send(self, host_id: str, message: messages.FleetMessage) -> None:
        """Send a message to a host, if it is known; delivery is not assured."""
        address = self._addresses.get(host_id)
        if address is not None:
            self.send_to(address, message)

    def send_to(
        self,
        address: tuple[str, int],
        message: messages.FleetMessage,
    ) -> None:
        """Send a message to an address, unless the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self.sent += 1
            self._transport.sendto(FLEET_CODEC.encode(message), address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The event loop's transport does not inherit from the abstract class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Log an unreachable peer; heartbeats detect it."""
        logger.debug('datagram not delivered: {}', exc)

    def datagram_received(
        self,
        data: bytes,  # noqa: WPS110
        addr: tuple[str, int],
    ) -> None:
        """Decode a datagram and deliver it if its sender is known."""
        try:
            message = FLEET_CODEC.decode(data[LENGTH_BYTES:])
        except ProtocolError as error:
            self._record_malformed(f'datagram from {addr}: {error}')
            return
        self.received += 1
        match message:
            case messages.HostAnnounced():
                self.add_host(message.entry)
            case messages.HostUnknown():
                self.send_to(addr, self._announce())
                return
        host_id = self._host_ids.get(addr)
        if host_id is None:
            self._ask_unknown(addr)
        else:
            self._receive(host_id, message)

    def _record_malformed(self, detail: str) -> None:
        """Count a malformed message, and log it at a limited rate."""
        self.malformed += 1
        if self._malformed_lines.allow():
            logger.bind(count=self.malformed).warning(
                'malformed message: {}', detail
            )

    def _ask_unknown(self, address: tuple[str, int]) -> None:
        """Ask the host at an address to announce itself, at a limited rate."""
        now_us = boot_time_us()
        asked_us = self._asked_us.get(address, -ASK_UNKNOWN_INTERVAL_US)
        if now_us - asked_us < ASK_UNKNOWN_INTERVAL_US:
            return
        if len(self._asked_us) >= MAX_ASKED_ADDRESSES:
            self._asked_us.clear()
        self._asked_us[address] = now_us
        own_id = self._announce().entry.host_id
        self.send_to(address, messages.HostUnknown(own_id))


class StateServer(TCPServer):
    """Sends compressed changes of this host's state to other hosts."""

    def __init__(self, mirror: StateMirror) -> None:
        """Serve the changes in `mirror`."""
        super().__init__()
        self._mirror = mirror
        self._encoded_changes: dict[CopyKey, bytes] = {}

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Answer one request and close the connection."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                message = await _read_message(stream)
                if isinstance(message, messages.StatePull):
                    await stream.write(self._encode_changes(message.versions))
        except (TimeoutError, StreamClosedError, ProtocolError) as error:
            logger.debug('state request from {} failed: {!r}', address, error)
        finally:
            stream.close()

    def _encode_changes(self, versions: Versions) -> bytes:
        """Return the encoded changes since `versions`, cached by version."""
        retained = self._mirror.retained
        now_us = boot_time_us()
        # Rounded, so that hosts that pull at once share a cached copy.
        steps = retained.remaining_us(now_us) // RETENTION_STEP_US
        remaining_us = steps * RETENTION_STEP_US
        confirmed_age_us = _round_up(
            self._mirror.freshness.age_us(now_us), AGE_STEP_US
        )
        key = (
            versions,
            self._mirror.versions(),
            retained.keys,
            remaining_us,
            confirmed_age_us,
        )
        compressed = self._encoded_changes.get(key)
        if compressed is None:
            copy = messages.StateCopy(
                self._mirror.deltas_since(versions),
                retained.keys,
                remaining_us,
                confirmed_age_us,
            )
            compressed = zlib.compress(
                FLEET_CODEC.encode(copy), COMPRESSION_LEVEL
            )
            if len(self._encoded_changes) >= MAX_CACHED_COPIES:
                self._encoded_changes.clear()
            self._encoded_changes[key] = compressed
        return compressed


async def pull_state(
    address: tuple[str, int],
    pull: messages.StatePull,
) -> messages.StateCopy | None:
    """Fetch newer topics from a host; None if that fails."""
    stream = IOStream(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        max_buffer_size=MAX_COPY_BYTES,
    )
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            await stream.connect(address)
            await stream.write(FLEET_CODEC.encode(pull))
            compressed = await stream.read_until_close()
            message = _decode_compressed(compressed)
    except _PULL_ERRORS as error:
        logger.debug('state pull from {} failed: {!r}', address, error)
        return None
    finally:
        stream.close()
    return message if isinstance(message, messages.StateCopy) else None


def _round_up(age_us: int, step_us: int) -> int:
    """Round an age up to a step; -1 stays as it is."""
    return age_us if age_us < 0 else -(-age_us // step_us) * step_us


def _decode_compressed(compressed: bytes) -> messages.FleetMessage:
    """Decompress and decode one message.

    Raises ProtocolError on malformed, truncated or oversized data.
    """
    inflater = zlib.decompressobj()
    try:
        frame = inflater.decompress(compressed, MAX_COPY_BYTES)
    except zlib.error as error:
        raise ProtocolError(f'malformed state copy: {error}') from error
    if not inflater.eof:
        raise ProtocolError('state copy is truncated or exceeds the size limit')
    return FLEET_CODEC.decode(frame[LENGTH_BYTES:])


async def _read_message(stream: IOStream) -> messages.FleetMessage:
    buffer = FrameBuffer(FLEET_CODEC)
    decoded: list[messages.FleetMessage] = []
    while not decoded:
        chunk = await stream.read_bytes(READ_BYTES, partial=True)
        decoded.extend(buffer.feed(chunk))
    return decoded[0]
