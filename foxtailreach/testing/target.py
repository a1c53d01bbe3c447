"""Fake target with slots, cold starts and gray failures.

It records each request that it runs.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler, stream_request_body

TEST_ID_HEADER = 'X-Test-Id'
DIGEST_HEADER = 'X-Body-Sha256'
HANG_S = 3600
_CHUNK_BYTES = 65536
_MS_PER_S = 1000
_KEY_HEADERS = ('Authorization', 'X-Api-Key')


@dataclass(slots=True)
class TargetBehaviour:
    """Simulated behaviour; all fields may change while the target runs.

    `service_ms` is the mean of an exponential distribution, multiplied by
    `slow_factor`. A target with `is_cut_off` accepts connections but runs no
    request; one with `is_hanging` runs requests without answering, and one
    with `close_after_run` closes the connection instead. `partial_ratio` of
    the answers end halfway. If `is_health_misleading`, the health check passes
    also while the target hangs or drains. A request whose path contains
    `crash_path` crashes the target for `crash_ms`.
    """

    slots: int = 2
    service_ms: float = 20
    cold_ms: int = 0
    cold_slots: int = 1
    slow_factor: float = 1
    error_ratio: float = 0
    partial_ratio: float = 0
    is_hanging: bool = False
    is_cut_off: bool = False
    is_draining: bool = False
    is_health_misleading: bool = True
    crash_path: str = ''
    crash_ms: int = 1000
    close_after_run: bool = False


@dataclass(slots=True, frozen=True)
class Run:
    """A request that the target ran."""

    test_id: str
    method: str
    path: str
    customer: str
    at_s: float
    saw_key: bool
    in_flight: int
    traceparent: str


@dataclass(slots=True)
class TargetState:
    """Counters and records of one target.

    `sheds` counts all requests refused with status 503, `overloads` those of
    them that arrived while the capacity was used up.
    """

    name: str
    behaviour: TargetBehaviour
    rng: random.Random = field(default_factory=random.Random)
    in_flight: int = 0
    sheds: int = 0
    overloads: int = 0
    crashes: int = 0
    warm_at_s: float = 0
    runs: list[Run] = field(default_factory=list)

    def start_cold(self) -> None:
        """Start the warm-up, in which only `cold_slots` are available."""
        self.warm_at_s = time.monotonic() + self.behaviour.cold_ms / _MS_PER_S

    @property
    def capacity(self) -> int:
        """Number of requests that the target can run at once now."""
        if time.monotonic() < self.warm_at_s:
            return self.behaviour.cold_slots
        return self.behaviour.slots


@stream_request_body
class _WorkHandler(RequestHandler):
    def initialize(self, server: TargetServer) -> None:
        self._server = server
        self._state = server.state
        self._digest = hashlib.sha256()

    def data_received(self, chunk: bytes) -> None:
        self._digest.update(chunk)

    async def _run(self, path: str) -> None:
        state, behaviour = self._state, self._state.behaviour
        if behaviour.is_cut_off:
            await asyncio.sleep(HANG_S)
        if state.in_flight >= state.capacity or behaviour.is_draining:
            state.sheds += 1
            state.overloads += state.in_flight >= state.capacity
            self.set_status(503)
            self.finish('shed')
            return
        state.in_flight += 1
        try:
            await self._serve(path)
        finally:
            state.in_flight -= 1

    async def _serve(self, path: str) -> None:
        behaviour = self._state.behaviour
        self._record(path)
        if behaviour.crash_path and behaviour.crash_path in path:
            self._server.crash()
            return
        if behaviour.is_hanging:
            await asyncio.sleep(HANG_S)
        mean_s = behaviour.service_ms * behaviour.slow_factor / _MS_PER_S
        await asyncio.sleep(self._state.rng.expovariate(1 / mean_s))
        await self._answer()

    async def _answer(self) -> None:
        behaviour = self._state.behaviour
        if self._state.rng.random() < behaviour.error_ratio:
            self.set_status(500)
            self.finish('error')
            return
        if behaviour.close_after_run:
            self._close_connection()
            return
        body = self._body()
        self.set_header(DIGEST_HEADER, hashlib.sha256(body).hexdigest())
        self.set_header('X-Upload-Sha256', self._digest.hexdigest())
        self.set_header('Content-Length', str(len(body)))
        if self._state.rng.random() < behaviour.partial_ratio:
            self.write(body[: len(body) // 2])
            await self.flush()
            self._close_connection()
            return
        for start in range(0, len(body), _CHUNK_BYTES):
            self.write(body[start : start + _CHUNK_BYTES])
            await self.flush()
        self.finish()

    def _close_connection(self) -> None:
        stream = getattr(self.request.connection, 'stream', None)
        if stream is not None:
            stream.close()

    def _body(self) -> bytes:
        size = int(self.get_query_argument('size', '0'))
        text = json.dumps(
            {
                'target': self._state.name,
                'test_id': self.request.headers.get(TEST_ID_HEADER, ''),
            }
        )
        return text.encode().ljust(size, b' ')

    def _record(self, path: str) -> None:
        headers = self.request.headers
        self._state.runs.append(
            Run(
                test_id=headers.get(TEST_ID_HEADER, ''),
                method=self.request.method or '',
                path=path,
                customer=headers.get('Foxtailreach-Customer', ''),
                at_s=time.monotonic(),
                saw_key=any(name in headers for name in _KEY_HEADERS),
                in_flight=self._state.in_flight,
                traceparent=headers.get('traceparent', ''),
            ),
        )

    get = _run
    head = _run
    post = _run
    put = _run
    patch = _run
    delete = _run


class _HealthHandler(RequestHandler):
    def initialize(self, server: TargetServer) -> None:
        self._state = server.state

    def get(self) -> None:
        behaviour = self._state.behaviour
        is_failing = behaviour.is_hanging or behaviour.is_draining
        if is_failing and not behaviour.is_health_misleading:
            self.set_status(503)
        self.write({'in_flight': self._state.in_flight})


class TargetServer:
    """A target's HTTP server, which can crash and restart cold."""

    def __init__(self, state: TargetState, address: str, port: int) -> None:
        """Create a target that does not listen yet."""
        self.state = state
        self._address = address
        self._port = port
        self._server: HTTPServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listen, and start the warm-up."""
        arguments = {'server': self}
        application = Application(
            [
                ('/health', _HealthHandler, arguments),
                ('(/.*)', _WorkHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        self.state.start_cold()
        self._server = HTTPServer(application)
        self._server.listen(self._port, self._address)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        if self._server is None:
            return 0
        return len(self._server._connections)  # noqa: SLF001

    def crash(self) -> None:
        """Close all connections, and restart cold after `crash_ms`."""
        self.state.crashes += 1
        task = asyncio.ensure_future(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await self.stop()
        await asyncio.sleep(self.state.behaviour.crash_ms / _MS_PER_S)
        self.start()
