"""The host process: connects a `Node` to sockets and timers."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import json
import random
import signal
from collections import deque
from collections.abc import Coroutine
from contextlib import AsyncExitStack

from loguru import logger
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from foxtailreach.config.settings import HostSettings
from foxtailreach.core import effects, events, messages
from foxtailreach.core.node import TICK_INTERVAL_US, Node, NodeConfig
from foxtailreach.core.verdict import Refusal
from foxtailreach.daemon.clock import monotonic_us, wall_ms
from foxtailreach.daemon.edge import Edge, Exchange
from foxtailreach.daemon.peers import PeerCallbacks, PeerConnections
from foxtailreach.daemon.platform import PlatformAddress, PlatformClient
from foxtailreach.daemon.telemetry import (
    Metrics,
    configure_logging,
    create_tracer,
)
from foxtailreach.daemon.transfers import Transfers
from foxtailreach.daemon.upstream import Upstream
from foxtailreach.exceptions import (
    AddressInUseError,
    PlatformUnavailableError,
)
from foxtailreach.rpc.frames import Frame, Hello

APPEND_INTERVAL_S = 0.25
APPEND_TRIES = 5
MAX_QUEUED_APPENDS = 16
HOSTS_POLL_FACTOR = 2
STOP_POLL_INTERVAL_S = 0.02
CLOSE_DELAY_S = 0.2
# Trace flags at the end of the `traceparent` header of an unsampled trace.
UNSAMPLED_SUFFIX = '-00'
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_PROPAGATOR = TraceContextTextMapPropagator()
_PEER_MESSAGES = messages.PeerMessage


class Host:
    """Runs a node: delivers events to it and carries out its effects."""

    def __init__(self, settings: HostSettings) -> None:
        """Create a host; `serve` starts it."""
        self.settings = settings
        self.limits = settings.limits
        host_id = settings.host.host_id
        self._incarnation = wall_ms()
        config = NodeConfig(
            host_id=host_id,
            domain=settings.host.domain,
            incarnation=self._incarnation,
        )
        rng = random.SystemRandom()
        self.node = Node.from_config(config, rng, monotonic_us())
        self.metrics = Metrics()
        self._exit_stack = AsyncExitStack()
        self._sync_exit_stack = self._exit_stack.enter_context(
            contextlib.ExitStack()
        )
        self.tracer = create_tracer(
            settings.log, host_id, self._sync_exit_stack
        )
        self._inbox: deque[events.Event] = deque()
        self._is_handling_events = False
        self._appends: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_APPENDS)
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.peers = PeerConnections(
            Hello(host_id, self._incarnation),
            PeerCallbacks(
                received=self._frame_received,
                unsent=self._frame_unsent,
                disconnected=self._peer_disconnected,
                find_address=self.node.address_of,
            ),
        )
        self.transfers = Transfers(host_id, self.peers.send)
        self.upstream = Upstream(self.post)
        self.platform = PlatformClient(
            PlatformAddress(
                address=str(settings.platform.address),
                port=settings.platform.port,
                timeout_ms=settings.platform.timeout_ms,
            ),
        )

    @classmethod
    def from_config(cls, settings: HostSettings) -> Host:
        """Configure logging and create a host from its settings."""
        configure_logging(settings.log)
        return cls(settings)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT and the graceful stop after it."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self.serve()

    async def serve(self) -> None:
        """Serve until a graceful stop is complete."""
        async with self._exit_stack:
            self._exit_stack.callback(self.peers.close)
            self._exit_stack.callback(self.upstream.close)
            self._exit_stack.callback(self.platform.close)
            self._exit_stack.push_async_callback(self._cancel_tasks)
            server = self._listen()
            self._start_tasks()
            logger.info('host {} is serving callers', self._host_id)
            await self._stopped.wait()
            await self._shut_down(server)
        logger.info('host {} stopped', self._host_id)

    def post(self, event: events.Event) -> None:
        """Let the node handle an event and carry out its effects.

        An event that arrives while another is handled is queued.
        """
        self._inbox.append(event)
        if self._is_handling_events:
            return
        self._is_handling_events = True
        try:
            while self._inbox:
                now_us = monotonic_us()
                for effect in self.node.handle(self._inbox.popleft(), now_us):
                    self._apply_effect(effect)
        finally:
            self._is_handling_events = False

    def register(self, exchange: Exchange) -> None:
        """Register a caller's exchange."""
        self.transfers.register(exchange)

    def unregister(self, exchange: Exchange) -> None:
        """Remove a caller's exchange."""
        self.transfers.unregister(exchange)

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal for the metrics."""
        self.metrics.record_refused(refusal)

    @property
    def _host_id(self) -> str:
        return self.settings.host.host_id

    def _listen(self) -> HTTPServer:
        section = self.settings.host
        address = str(section.address)
        server = HTTPServer(
            Edge(self, self._incarnation),
            max_header_size=2 * self.limits.max_header_bytes,
            max_body_size=self.limits.max_body_bytes,
        )
        admin = HTTPServer(_admin_application(self))
        for listener, port in (
            (server, section.caller_port),
            (self.peers, section.peer_port),
            (admin, section.admin_port),
        ):
            _bind(listener, address, port)
        self._exit_stack.callback(admin.stop)
        self._exit_stack.callback(server.stop)
        return server

    def _start_tasks(self) -> None:
        seeds = tuple(
            messages.HostEntry(
                host_id=seed.host_id,
                domain=seed.domain,
                address=str(seed.address),
                peer_port=seed.peer_port,
            )
            for seed in self.settings.seeds
        )
        if seeds:
            self.post(events.HostsListed((*seeds, self._own_entry())))
        for coroutine in (
            self._tick(),
            self._read_log(),
            self._read_hosts(),
            self._send_appends(),
        ):
            self._spawn(coroutine)

    def _own_entry(self) -> messages.HostEntry:
        section = self.settings.host
        return messages.HostEntry(
            host_id=section.host_id,
            domain=section.domain,
            address=str(section.address),
            peer_port=section.peer_port,
        )

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error('a task failed')

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def request_stop(self) -> None:
        """Begin a graceful stop, which lets running requests finish.

        They have the grace period `stop_grace_ms` to do so.
        """
        logger.info('host {} is stopping gracefully', self._host_id)
        self.post(events.StopRequested())
        self._spawn(self._stop_after_grace())

    async def _stop_after_grace(self) -> None:
        await asyncio.sleep(self.limits.stop_grace_ms / _MS_PER_S)
        self._stopped.set()

    async def _shut_down(self, server: HTTPServer) -> None:
        server.stop()
        deadline_us = monotonic_us() + (self.limits.stop_grace_ms * _MS_PER_S)
        while monotonic_us() < deadline_us:
            if not self.transfers.open_exchanges and self._appends.empty():
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        await asyncio.sleep(CLOSE_DELAY_S)
        await server.close_all_connections()

    async def _tick(self) -> None:
        while True:
            self.post(events.Tick())
            await asyncio.sleep(TICK_INTERVAL_US / _US_PER_S)

    async def _read_log(self) -> None:
        interval_s = self.settings.platform.poll_interval_ms / _MS_PER_S
        is_unavailable = False
        while True:
            event = await self._read_page()
            if isinstance(event, events.LogFailed) != is_unavailable:
                is_unavailable = not is_unavailable
                state = (
                    'does not answer; waiting' if is_unavailable else 'answers'
                )
                logger.warning('the platform {}', state)
            self.post(event)
            if isinstance(event, events.LogRead) and event.records:
                # Shortens later collections: they skip the configuration.
                gc.collect()
                gc.freeze()
                continue
            await asyncio.sleep(interval_s * self.node.poll_interval_factor())

    async def _read_page(self) -> events.LogRead | events.LogFailed:
        try:
            return await self.platform.read(self.node.fold.next_offset)
        except PlatformUnavailableError as error:
            logger.debug('reading the log failed: {}', error)
            return events.LogFailed()

    async def _read_hosts(self) -> None:
        interval_s = self.settings.platform.poll_interval_ms / _MS_PER_S
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                self.post(await self.platform.hosts())
            await asyncio.sleep(interval_s * HOSTS_POLL_FACTOR)

    async def _send_appends(self) -> None:
        while True:
            payload = await self._appends.get()
            for _ in range(APPEND_TRIES):
                if await self._try_append(payload):
                    break
                await asyncio.sleep(APPEND_INTERVAL_S)
            await asyncio.sleep(APPEND_INTERVAL_S)

    async def _try_append(self, payload: bytes) -> bool:
        try:
            await self.platform.append(payload)
        except PlatformUnavailableError as error:
            logger.warning('appending to the log failed: {}', error)
            return False
        return True

    def _apply_effect(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SendPeer(host_id=host_id, message=message):
                self._send(host_id, message)
            case effects.StartAttempt():
                self._spawn(self._run_attempt(effect))
            case effects.RelayAnswer(attempt_id=attempt_id):
                self.upstream.relay(attempt_id)
            case effects.CancelAttempt(attempt_id=attempt_id):
                self.upstream.cancel(attempt_id)
            case effects.AppendRecord(payload=payload):
                with contextlib.suppress(asyncio.QueueFull):
                    self._appends.put_nowait(payload)
            case effects.Stopped():
                self._stopped.set()
            case effects.Note(name=name, subject=subject, detail=detail):
                self.metrics.notes.labels(name).inc()
                logger.info('{}: {} {}', name, subject, detail)
            case _:
                self._answer_caller(effect)

    def _answer_caller(self, effect: effects.Effect) -> None:
        match effect:
            case effects.RefuseRequest(request_id=request_id, refusal=refusal):
                exchange = self.transfers.exchange(request_id)
                if exchange is not None:
                    exchange.refuse(refusal)
            case effects.AbortAnswer(request_id=request_id):
                exchange = self.transfers.exchange(request_id)
                if exchange is not None:
                    exchange.cut()
            case effects.FinishRequest():
                self.metrics.record_finished(effect)
            case _:
                return

    def _send(self, host_id: str, message: messages.PeerMessage) -> None:
        if isinstance(message, messages.Handoff):
            self.transfers.start_handoff(message, host_id)
        elif isinstance(message, messages.HandoffResult):
            self.transfers.end_handoff(message.request_id)
        self.peers.send(host_id, message)

    async def _run_attempt(self, start: effects.StartAttempt) -> None:
        handoff_id = start.head.request_id
        body = None
        if start.head.is_streamed:
            body = self.transfers.body_of(handoff_id, start.origin)
        sink = self.transfers.open_sink(handoff_id, start.origin)
        carrier = {
            header.name.lower(): header.value for header in start.head.headers
        }
        is_sampled = not carrier.get('traceparent', '').endswith(
            UNSAMPLED_SUFFIX
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self.transfers.close_sink, handoff_id)
            if is_sampled:
                span = self.tracer.start_span(
                    f'attempt {start.target}',
                    context=_PROPAGATOR.extract(carrier),
                    attributes={'request.id': handoff_id},
                )
                stack.callback(span.end)
            await self.upstream.run(start, body, sink)

    def _frame_received(self, sender: str, frame: Frame) -> None:
        if isinstance(frame, messages.Handoff):
            self.transfers.accept_handoff(frame, sender)
        if isinstance(frame, _PEER_MESSAGES):
            self.post(events.PeerReceived(sender, frame))
        else:
            self.transfers.receive(sender, frame)

    def _frame_unsent(self, host_id: str, frame: Frame) -> None:
        if isinstance(frame, _PEER_MESSAGES):
            self.post(events.PeerUnsent(host_id, frame))

    def _peer_disconnected(self, host_id: str) -> None:
        self.post(events.PeerDisconnected(host_id))

    def status(self) -> dict[str, object]:
        """Return the state of this host for `foxtailreach status`."""
        node = self.node
        return {
            'host_id': self._host_id,
            'domain': self.settings.host.domain,
            'configuration_version': node.fold.version,
            'log_offset': node.fold.next_offset,
            'log_age_us': node.log_freshness.age_us(monotonic_us()),
            'is_current': node.log_freshness.is_current(monotonic_us()),
            'hosts': {
                host_id: state.liveness.value
                for host_id, state in node.membership.hosts.items()
            },
            'seats': node.holder.held_partitions(),
            'pools': {
                pool_id: {
                    name: {
                        'status': state.status.value,
                        'in_flight': state.in_flight,
                        'allowed': state.allowed,
                        'score': round(state.health.score, 1),
                    }
                    for name, state in owner.targets.items()
                }
                for pool_id, owner in node.ownership.pools.items()
            },
            'pending': len(node.entry.pending),
        }


class _StatusPage(RequestHandler):
    """Serves the host's status as JSON."""

    def initialize(self, host: Host) -> None:
        self._host = host

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(self._host.status()))


class _MetricsPage(RequestHandler):
    """Serves the metrics as Prometheus text."""

    def initialize(self, host: Host) -> None:
        self._host = host

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self._host.metrics.render())


def _admin_application(host: Host) -> Application:
    arguments = {'host': host}
    return Application(
        [
            ('/status', _StatusPage, arguments),
            ('/metrics', _MetricsPage, arguments),
        ],
        log_function=lambda handler: None,
    )


def _bind(
    listener: HTTPServer | PeerConnections, address: str, port: int
) -> None:
    try:
        listener.listen(port, address)
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise AddressInUseError(
                f'{address}:{port} is in use; '
                'stop the other process or change the port',
            ) from error
        raise AddressInUseError(
            f'{address}:{port} cannot be used: {error}',
        ) from error
