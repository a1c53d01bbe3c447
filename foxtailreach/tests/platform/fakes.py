"""Fakes of the platform's store and of targets, for one event loop."""

from __future__ import annotations

import asyncio
import base64
import json
import math
import struct
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

LENGTH = struct.Struct('!I')


class Store:
    """In-memory store of keyed topics with one partition.

    `first_offsets` are the oldest offsets that are not trimmed; `calls` are
    the names of the calls so far. The next `refusals_left` calls are refused.
    All answers name the `era`, unless it is 0 as before the first restoration.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.first_offsets: dict[str, int] = defaultdict(int)
        self.is_down = False
        self.refusals_left = 0
        self.era = 0
        self.calls: list[str] = []
        self._changed = asyncio.Condition()
        sock, self.port = bind_unused_port()
        self._server = HTTPServer(
            Application(
                [(r'/foxtailreach/(.*)', _StoreHandler, {'store': self})]
            ),
        )
        self._server.add_socket(sock)

    def close(self) -> None:
        self._server.stop()

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Write a value as an operator or a target does; None removes it."""
        payload = b'' if value is None else json.dumps(value).encode()
        await self.append(topic, key, payload)

    async def append(self, topic: str, key: str, payload: bytes) -> None:
        async with self._changed:
            self.topics[topic].append((key, payload))
            self._changed.notify_all()

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all topics, for `restore`."""
        return {topic: list(log) for topic, log in self.topics.items()}

    def restore(self, copied: dict[str, list[tuple[str, bytes]]]) -> None:
        """Come back from a copy, without the writes made since."""
        self.era += 1
        self.topics.clear()
        self.topics.update({topic: list(log) for topic, log in copied.items()})

    async def wait_for(self, topic: str, offset: int, wait_ms: int) -> None:
        """Wait until a topic has a record at `offset`, or for `wait_ms`."""

        async def changed() -> None:
            async with self._changed:
                await self._changed.wait_for(
                    lambda: len(self.topics[topic]) > offset,
                )

        try:
            await asyncio.wait_for(changed(), wait_ms / 1000)
        except TimeoutError:
            return

    def newest(self, topic: str) -> list[dict[str, Any]]:
        """Return the newest value of each key that was not removed."""
        last = {
            key: (offset, payload)
            for offset, (key, payload) in enumerate(self.topics[topic])
        }
        return [
            {
                'key': key,
                'value': base64.b64encode(payload).decode(),
                'offset': offset,
            }
            for key, (offset, payload) in sorted(last.items())
            if payload
        ]


class _StoreHandler(RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def prepare(self) -> None:
        if self.store.era:
            self.set_header('Store-Era', str(self.store.era))
        self.store.calls.append(self.request.path.rpartition('/')[2])
        is_refused = self.store.refusals_left > 0
        self.store.refusals_left -= is_refused
        if self.store.is_down or is_refused:
            self.send_error(503)

    async def get(self, call: str) -> None:
        topic = self.get_query_argument('topic')
        if call == 'log-newest':
            items = self.store.newest(topic)
            end = len(self.store.topics[topic])
            self.write({'items': items, 'more': False, 'end': end})
            return
        offset = int(self.get_query_argument('from'))
        end = len(self.store.topics[topic])
        if not self.store.first_offsets[topic] <= offset <= end:
            self.set_status(410)
            self.write({'first': self.store.first_offsets[topic]})
            return
        wait_ms = int(self.get_query_argument('wait_ms', '0'))
        if wait_ms:
            await self.store.wait_for(topic, offset, wait_ms)
        if self.store.era:
            # It may have been restored during the wait.
            self.set_header('Store-Era', str(self.store.era))
        records = self.store.topics[topic]
        self.write(
            struct.pack('!QQ', len(records), self.store.first_offsets[topic])
        )
        for key, payload in records[offset:]:
            frame = bytes([len(key)]) + key.encode() + payload
            self.write(LENGTH.pack(len(frame)) + frame)

    async def post(self, call: str) -> None:
        topic = self.get_query_argument('topic')
        frame = self.request.body[LENGTH.size :]
        key_end = 1 + frame[0]
        key = frame[1:key_end].decode()
        await self.store.append(topic, key, frame[key_end:])
        end = len(self.store.topics[topic])
        self.write({'offset': end - 1, 'end': end})


@dataclass(slots=True)
class ReceivedRequest:
    """A request as received by a target."""

    request_id: str
    path: str
    customer: str
    headers: dict[str, str]
    body: bytes
    at_s: float = 0


@dataclass(slots=True)
class Target:
    """A target that answers with `status` after `delay_s`."""

    target_id: str
    zone: str = 'north'
    service: str = 'stock'
    delay_s: float = 0.0
    status: Callable[[], int] = lambda: 200
    # Says so in all its answers.
    is_leaving: bool = False
    says_leaving_s: float = math.inf
    # Turns requests away until then, by the loop's time, and asks for a pause.
    paused_until_s: float = 0
    # Requests that it ran, and those that it turned away.
    seen: list[ReceivedRequest] = field(default_factory=list)
    declined: list[ReceivedRequest] = field(default_factory=list)
    port: int = 0
    server: HTTPServer | None = None
    sequence: int = 0

    def open(self) -> None:
        sock, self.port = bind_unused_port()
        handler = (r'/.*', _TargetHandler, {'target': self})
        self.server = HTTPServer(Application([handler]))
        self.server.add_socket(sock)

    def entry(self, state: str = 'ready', **changes: Any) -> dict[str, Any]:
        """Return the next heartbeat that the target writes to the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 4,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': 1_700_000_000_000,
            **changes,
        }


class _TargetHandler(RequestHandler):
    def initialize(self, target: Target) -> None:
        self.target = target

    async def get(self) -> None:
        headers = dict(self.request.headers.get_all())
        request_id = headers.get('X-Foxtailreach-Request-Id', '')
        received = ReceivedRequest(
            request_id,
            self.request.uri or '',
            headers.get('X-Foxtailreach-Tenant-Id', ''),
            headers,
            self.request.body,
            asyncio.get_running_loop().time(),
        )
        self.set_header('X-Foxtailreach-Request-Id', request_id)
        if self.target.is_leaving:
            self.set_header('Server-Leaving', '1')
        pause_s = self.target.paused_until_s - asyncio.get_running_loop().time()
        if pause_s > 0:
            self.target.declined.append(received)
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.set_header('X-Foxtailreach-Not-Executed', '1')
            self.set_header('Retry-After', f'{pause_s:.3f}')
            return
        self.target.seen.append(received)
        await asyncio.sleep(self.target.delay_s)
        self.set_status(self.target.status())
        self.set_header('X-Foxtailreach-Response-Signature', 'signed')
        self.write(f'{self.target.target_id} {self.request.uri}')

    post = get
