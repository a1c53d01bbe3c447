"""Open-loop load of the demo, and a record of the responses."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from foxtailreach.daemon.headers import KEY_HEADER, VERDICT_HEADER
from foxtailreach.testing.target import DIGEST_HEADER, TEST_ID_HEADER

TIMEOUT_S = 8
MAX_CLIENTS = 200
NO_RESPONSE = 599
OK = 200


@dataclass(slots=True, frozen=True)
class Response:
    """Response to one request as the caller saw it.

    `is_for_request` and `is_whole` are checked only for status 200.
    """

    test_id: str
    method: str
    customer: str
    service: str
    status: int
    verdict: str
    started_s: float
    latency_s: float
    is_for_request: bool
    is_whole: bool


@dataclass(slots=True)
class Caller:
    """A customer's traffic: request rate, services and ratio of POSTs."""

    customer: str
    key: str
    rate_per_s: float
    services: tuple[str, ...]
    post_ratio: float = 0.2


@dataclass(slots=True)
class Load:
    """Sends the callers' requests to random hosts, like a load balancer."""

    ports: Callable[[], list[int]]
    rng: random.Random
    responses: list[Response] = field(default_factory=list)
    sent: int = 0
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _client: CurlAsyncHTTPClient = field(
        default_factory=lambda: CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
        ),
    )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def run(self, caller: Caller, until_s: float) -> None:
        """Send requests at the caller's rate, without waiting for responses."""
        next_s = time.monotonic()
        while next_s < until_s:
            await asyncio.sleep(max(0, next_s - time.monotonic()))
            task = asyncio.ensure_future(self.send(caller))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_s += self.rng.expovariate(caller.rate_per_s)

    async def drain(self) -> None:
        """Wait for all responses."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def send(self, caller: Caller) -> None:
        """Send one request and record its response."""
        service = self.rng.choice(caller.services)
        is_post = self.rng.random() < caller.post_ratio
        test_id = f'{caller.customer}-{next(self._numbers)}'
        port = self.rng.choice(self.ports())
        started_s = time.monotonic()
        self.sent += 1
        request = HTTPRequest(
            f'http://127.0.0.1:{port}/{service}/item?n={test_id}',
            method='POST' if is_post else 'GET',
            body=test_id.encode() if is_post else None,
            headers={KEY_HEADER: caller.key, TEST_ID_HEADER: test_id},
            request_timeout=TIMEOUT_S,
            connect_timeout=TIMEOUT_S,
        )
        response = await self._client.fetch(request, raise_error=False)
        self.responses.append(
            _to_response(response, caller, service, test_id, started_s),
        )


def _to_response(
    response: HTTPResponse,
    caller: Caller,
    service: str,
    test_id: str,
    started_s: float,
) -> Response:
    body = response.body if response.buffer else b''
    digest = hashlib.sha256(body).hexdigest()
    is_ok = response.code == OK
    return Response(
        test_id=test_id,
        method=response.request.method,
        customer=caller.customer,
        service=service,
        status=response.code,
        verdict=response.headers.get(VERDICT_HEADER, ''),
        started_s=started_s,
        latency_s=time.monotonic() - started_s,
        is_for_request=not is_ok or f'"{test_id}"'.encode() in body,
        is_whole=not is_ok or response.headers.get(DIGEST_HEADER) == digest,
    )
