"""Fake platform: append-only log streams and a host list over HTTP."""

from __future__ import annotations

import asyncio
import copy
import json
from asyncio import Future
from dataclasses import asdict, dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

from foxtailreach.core.messages import HostEntry

_MS_PER_S = 1000


@dataclass(slots=True)
class PlatformFaults:
    """Simulated faults, which may change while the platform runs.

    If `is_away`, requests get status 503. Each is delayed by `slow_ms`, and
    the next `lose_answers` appends succeed but get status 504.
    """

    is_away: bool = False
    slow_ms: int = 0
    lose_answers: int = 0


@dataclass(slots=True)
class Stream:
    """An append-only stream that can be trimmed at its start."""

    payloads: list[str] = field(default_factory=list)
    first_offset: int = 0

    @property
    def next_offset(self) -> int:
        """Offset of the record that will be appended next."""
        return self.first_offset + len(self.payloads)

    def append(self, payload: str) -> int:
        """Append a record and return its offset."""
        self.payloads.append(payload)
        return self.next_offset - 1

    def trim(self, first_offset: int) -> None:
        """Drop the records before `first_offset`."""
        dropped = max(0, first_offset - self.first_offset)
        del self.payloads[:dropped]
        self.first_offset += dropped

    def page(self, offset: int, limit: int) -> dict[str, Any]:
        """Return up to `limit` records from `offset` on, as JSON-ready data."""
        start = max(offset, self.first_offset)
        first_index = start - self.first_offset
        records = [
            {'offset': start + index, 'payload': payload}
            for index, payload in enumerate(
                self.payloads[first_index : first_index + limit],
            )
        ]
        return {
            'first_offset': self.first_offset,
            'next_offset': self.next_offset,
            'records': records,
        }


class PlatformState:
    """Streams, host list and simulated faults.

    `era` counts how often the streams were restored from a copy. All responses
    name it, once it is not 0.
    """

    def __init__(self) -> None:
        """Start with an empty log and no hosts."""
        self.streams: dict[str, Stream] = {}
        self.hosts: dict[str, HostEntry] = {}
        self.faults = PlatformFaults()
        self.era = 0

    def stream(self, name: str) -> Stream:
        """Return a stream, which is created on first use."""
        return self.streams.setdefault(name, Stream())

    def copy(self) -> dict[str, Stream]:
        """Return a copy of all streams, for `restore`."""
        return copy.deepcopy(self.streams)

    def restore(self, streams: dict[str, Stream]) -> None:
        """Come back from a copy, without the records appended since."""
        self.streams = copy.deepcopy(streams)
        self.era += 1


class _PlatformHandler(RequestHandler):
    """Base handler that applies the simulated faults."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        if self.request.path == '/faults':
            return
        if self.state.faults.slow_ms:
            await asyncio.sleep(self.state.faults.slow_ms / _MS_PER_S)
        if self.state.faults.is_away:
            raise HTTPError(503)

    def set_default_headers(self) -> None:
        self.set_header('Content-Type', 'application/json')

    def finish(self, *chunks: Any) -> Future[None]:
        """Name the era of the streams in each response."""
        if self.state.era:
            self.set_header('Store-Era', str(self.state.era))
        return super().finish(*chunks)


class _StreamHandler(_PlatformHandler):
    def get(self, name: str) -> None:
        offset = int(self.get_query_argument('from', '0'))
        limit = int(self.get_query_argument('limit', '100'))
        self.write(self.state.stream(name).page(offset, limit))

    def post(self, name: str) -> None:
        payload = self.request.body.decode()
        offset = self.state.stream(name).append(payload)
        if self.state.faults.lose_answers:
            self.state.faults.lose_answers -= 1
            raise HTTPError(504)
        self.write({'offset': offset})


class _HostsHandler(_PlatformHandler):
    def get(self) -> None:
        hosts = [asdict(entry) for entry in self.state.hosts.values()]
        self.write({'hosts': hosts})


class _HostHandler(_PlatformHandler):
    def put(self, host_id: str) -> None:
        entry = HostEntry(**json.loads(self.request.body))
        self.state.hosts[host_id] = entry
        self.write({})

    def delete(self, host_id: str) -> None:
        self.state.hosts.pop(host_id, None)
        self.write({})


class _FaultsHandler(_PlatformHandler):
    def put(self) -> None:
        self.state.faults = PlatformFaults(**json.loads(self.request.body))
        self.write({})


def create_platform(state: PlatformState) -> HTTPServer:
    """Create the HTTP server of the fake platform for a state."""
    arguments = {'state': state}
    application = Application(
        [
            (r'/streams/([a-z0-9-]+)', _StreamHandler, arguments),
            ('/hosts', _HostsHandler, arguments),
            (r'/hosts/([a-z0-9._-]+)', _HostHandler, arguments),
            ('/faults', _FaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    return HTTPServer(application)
