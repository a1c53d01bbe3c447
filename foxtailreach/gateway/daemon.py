"""Process of one gateway host: starts its servers and tasks, stops them."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from http import HTTPStatus

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)
from tornado.tcpserver import TCPServer

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import CallerLimits
from foxtailreach.core.dispatch.fleet import FleetConfig, FleetNode
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.daemon.clock import boot_time_us, wall_ms
from foxtailreach.gateway import explain_page, logs, target_limit
from foxtailreach.gateway.caller_memory import CallerMemory
from foxtailreach.gateway.frontend import Frontend
from foxtailreach.gateway.http_types import (
    CallerAnswer,
    HeaderNames,
    RequestTrace,
)
from foxtailreach.gateway.metrics import GatewayMetrics
from foxtailreach.gateway.peers import PeerEndpoint, StateServer
from foxtailreach.gateway.proxy import GetPriority, Proxy
from foxtailreach.gateway.router import MessageRouter
from foxtailreach.gateway.settings import Address, GatewaySettings
from foxtailreach.gateway.state_feed import FeedDependencies, StateFeed
from foxtailreach.gateway.upstream import Upstream

TICK_INTERVAL_S = 0.1
# An isolated host whose state is older than this reports not ready, since
# other hosts have newer state.
MAX_ISOLATED_STATE_AGE_US = 2500 * MILLISECOND_US
# Two failed readiness checks 1 s apart take a host out of rotation; until then
# it accepts connections.
LISTEN_AFTER_STOP_S = 2.5
# Time reserved for closing before the end of the grace period, when the
# process is killed.
STOP_MARGIN_US = 700 * MILLISECOND_US
STOP_POLL_INTERVAL_S = 0.05
# Requests that still wait for a slot this long before the end are refused.
REFUSE_BEFORE_END_US = 800 * MILLISECOND_US
LISTEN_BACKLOG = 512
# Idle connections stay open this long after listening stops, for callers that
# send another request before they see the close.
IDLE_CLOSE_DELAY_S = 0.3


@dataclass(slots=True, frozen=True)
class GatewayOptions:
    """Settings and functions that the platform's adapter supplies."""

    settings: GatewaySettings
    header_names: HeaderNames
    priority: GetPriority
    create_feed: Callable[[FeedDependencies], StateFeed]
    reload: Callable[[], GatewaySettings]


class Gateway:
    """Runs the servers and tasks of one host."""

    def __init__(self, options: GatewayOptions) -> None:
        """Create the components; `run` starts them."""
        settings = options.settings
        self._options = options
        self._settings = settings
        self._entry = settings.entry
        rng = random.SystemRandom()
        config = FleetConfig(
            self._entry,
            wall_ms(),
            settings.retry_policy,
            settings.limit_policy,
            settings.is_first_start,
            settings.prefers_own_domain,
        )
        self._node = FleetNode.from_config(config, rng, boot_time_us())
        self._peers = PeerEndpoint(self._receive, self._node.announcement)
        self._router = MessageRouter(self._node, self._peers.send)
        self._target_limit = target_limit.TargetLimit.from_descriptors(
            settings.max_descriptors
        )
        self._upstream = Upstream(
            options.header_names, self._node.withhold_cause, self._target_limit
        )
        self._metrics = GatewayMetrics()
        self._routine_lines = logs.RoutineLineLimiter()
        self._log_writer = logs.configure(settings.host_id)
        self._proxy = Proxy(
            self._node,
            self._router.client,
            self._upstream,
            options.priority,
            self._record,
            rng,
            self._target_limit,
        )
        self._memory = CallerMemory.from_settings(settings)
        self._frontend = Frontend(
            self._memory.reader_options(
                options.header_names, self._limits, self._proxy.check_head
            ),
            self._proxy.handle,
            settings.max_descriptors,
        )
        self._feed = options.create_feed(
            FeedDependencies(
                self._node,
                self._peers,
                rng,
                self._router.apply,
            ),
        )
        self._state_server = StateServer(self._feed.mirror)
        self._readiness = HTTPServer(self._answer_readiness)
        self._metrics_server = HTTPServer(self._answer_metrics)
        self._placement_answers = explain_page.PlacementAnswers(
            self._node, self._ages
        )
        self._where = explain_page.WherePage(
            self._node,
            self._router.client,
            self._proxy,
            self._placement_answers,
            self._ages,
        )
        self._where_tasks: set[asyncio.Task[None]] = set()
        self._stop = asyncio.Event()
        self._is_stopping = False

    @classmethod
    def from_options(cls, options: GatewayOptions) -> Gateway:
        """Create an unstarted gateway."""
        return cls(options)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish requests in flight."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            logger.bind(incarnation=self._node.membership.incarnation).info(
                'started',
            )
            await self._stop.wait()
            await self._shut_down()
            logger.info('stopped')
        self._log_writer.flush()

    async def _start(self, stack: AsyncExitStack) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self._settings
        await self._peers.open(settings.address, settings.peer_port)
        stack.callback(self._peers.close)
        own_address = settings.address
        _listen(
            stack, self._state_server, Address(own_address, settings.peer_port)
        )
        _listen(stack, self._readiness, settings.readiness)
        _listen(
            stack,
            self._metrics_server,
            Address(own_address, settings.metrics_port),
        )
        _listen(stack, self._frontend, settings.callers)
        stack.callback(self._upstream.close)
        for task in (self._feed.run(), self._tick()):
            background_task = asyncio.ensure_future(task)
            background_task.add_done_callback(self._task_ended)
            stack.callback(background_task.cancel)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        """Stop the host when a background task failed."""
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error('a task failed')
            self._stop.set()

    async def _shut_down(self) -> None:
        """Report not ready, answer requests in flight, close connections."""
        logger.info('stop requested')
        stopped_us = boot_time_us()
        self._is_stopping = True
        self._frontend.is_stopping = True
        self._router.apply(self._node.leave(stopped_us))
        deadline_us = stopped_us + self._settings.stop_grace_us - STOP_MARGIN_US
        await asyncio.sleep(LISTEN_AFTER_STOP_S)
        self._frontend.stop()
        await asyncio.sleep(IDLE_CLOSE_DELAY_S)
        self._proxy.refuse_new()
        while boot_time_us() < deadline_us:
            if boot_time_us() > deadline_us - REFUSE_BEFORE_END_US:
                self._proxy.refuse_waiting()
            self._frontend.close_idle()
            if not self._frontend.connections:
                return
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        logger.bind(open=len(self._frontend.connections)).warning(
            'requests are still in flight at the end of the grace period',
        )

    def _reload(self) -> None:
        """Read the settings file again; new addresses need a restart."""
        try:
            settings = self._options.reload()
        except Exception as error:
            logger.error('settings not reloaded: {}', error)
            return
        self._settings = settings
        logger.info('settings reloaded')

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._router.apply(self._node.tick(boot_time_us()))
            self._log_writer.flush()

    def _limits(self) -> CallerLimits:
        deployment = self._node.deployment
        return CallerLimits() if deployment is None else deployment.limits

    def _receive(self, sender: str, message: messages.FleetMessage) -> None:
        self._router.receive(sender, message)
        match message:
            case messages.StateNotice():
                self._feed.handle_notice(sender, message)
            case messages.PlacementQuery():
                report = self._placement_answers.answer(sender, message)
                self._router.send(sender, report)
            case messages.HostAnnounced():
                self._feed.notify_host(sender)
            case _:
                return

    def _is_ready(self) -> bool:
        if self._is_stopping or not self._feed.is_ready:
            return False
        now_us = boot_time_us()
        if not self._node.is_isolated(now_us):
            return True
        return 0 <= self._feed.age_us(now_us) < MAX_ISOLATED_STATE_AGE_US

    def _answer_readiness(self, request: HTTPServerRequest) -> None:
        status = HTTPStatus.OK
        if not self._is_ready():
            status = HTTPStatus.SERVICE_UNAVAILABLE
        _answer(request, status, b'')

    def _ages(self) -> explain_page.InputAges:
        now_us = boot_time_us()
        return explain_page.InputAges(
            self._feed.mirror.freshness.age_us(now_us),
            self._feed.age_us(now_us),
        )

    async def _answer_where(self, request: HTTPServerRequest) -> None:
        status, page = await self._where.answer(request.query_arguments)
        _answer(request, status, page, 'application/json')

    def _answer_metrics(self, request: HTTPServerRequest) -> None:
        """Answer with the metrics, or explain where a request would go."""
        if request.path == explain_page.PATH:
            task = asyncio.ensure_future(self._answer_where(request))
            self._where_tasks.add(task)
            task.add_done_callback(self._where_tasks.discard)
            return
        now_us = boot_time_us()
        gauges = {
            'state_age_us': self._feed.age_us(now_us),
            'config_version': self._config_version(),
            'config_age_us': self._feed.mirror.freshness.age_us(now_us),
            'config_faults': self._config_faults(),
            'targets': len(self._node.targets),
            'store_calls': self._feed.store_calls,
            'malformed_entries': self._feed.malformed_entries,
            'malformed_messages': self._peers.malformed,
            'hosts_usable': len(self._node.membership.usable_hosts()),
            'hosts_known': len(self._node.membership.hosts),
            'caller_connections': len(self._frontend.connections),
            'connections_closed_for_others': self._frontend.limit.closed,
            'connections_refused': self._frontend.limit.refused,
            'requests_at_targets': self._target_limit.in_use,
            'connections_opened': self._upstream.opened,
            'connections_reused': self._upstream.reused,
            'datagrams_sent': self._peers.sent,
            'datagrams_received': self._peers.received,
            'log_lines_dropped': self._log_writer.dropped,
            'log_lines_left_out': self._routine_lines.left_out,
        }
        gauges.update(self._memory.gauges())
        gauges.update(self._node.broker_gauges())
        _answer(request, HTTPStatus.OK, self._metrics.render(gauges))

    def _config_version(self) -> int:
        deployment = self._node.deployment
        return -1 if deployment is None else deployment.version

    def _config_faults(self) -> int:
        deployment = self._node.deployment
        return 0 if deployment is None else len(deployment.faults)

    def _record(
        self,
        trace: RequestTrace,
        answer: CallerAnswer,
        latency_us: int,
    ) -> None:
        """Record a request in the metrics and the log.

        Requests that went well are logged at a limited rate.
        """
        self._metrics.record(trace, answer, latency_us)
        if answer.reason is None and not self._routine_lines.allow():
            return
        now_us = boot_time_us()
        logger.bind(
            status=answer.status,
            verdict=answer.verdict,
            reason=answer.reason,
            latency_us=latency_us,
            state_age_us=self._feed.age_us(now_us),
            config_age_us=self._feed.mirror.freshness.age_us(now_us),
            **asdict(trace),
        ).info('request')


def _listen(stack: AsyncExitStack, server: TCPServer, address: Address) -> None:
    server.listen(address.port, address.host, backlog=LISTEN_BACKLOG)
    stack.callback(server.stop)


def _answer(
    request: HTTPServerRequest,
    status: HTTPStatus,
    body: bytes,
    content_type: str = 'text/plain',
) -> None:
    connection = request.connection
    assert connection is not None
    headers = HTTPHeaders(
        {'Content-Length': str(len(body)), 'Content-Type': content_type},
    )
    line = ResponseStartLine('HTTP/1.1', status.value, status.phrase)
    connection.write_headers(line, headers, body)
    connection.finish()
