"""Client of the platform's log service and host list."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from foxtailreach.core.events import HostsListed, LogRead
from foxtailreach.core.messages import HostEntry, LogRecord
from foxtailreach.exceptions import PlatformUnavailableError

STREAM = 'foxtailreach'
MAX_RECORDS = 500
_MS_PER_S = 1000
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


@dataclass(slots=True, frozen=True)
class PlatformAddress:
    """Address of the platform and the time limit of a request."""

    address: str
    port: int
    timeout_ms: int

    @property
    def url(self) -> str:
        """Base URL of the platform."""
        return f'http://{self.address}:{self.port}'


class PlatformClient:
    """Reads and appends to the log, and reads the host list.

    Every failure is raised as PlatformUnavailableError.
    """

    __slots__ = ('_address', '_client')

    def __init__(self, address: PlatformAddress) -> None:
        """Create a client that shares no connections."""
        self._address = address
        self._client = CurlAsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(self, next_offset: int) -> LogRead:
        """Read up to `MAX_RECORDS` records from `next_offset` on.

        Raises PlatformUnavailableError if the platform does not answer.
        """
        path = f'/streams/{STREAM}?from={next_offset}&limit={MAX_RECORDS}'
        page = await self._fetch('GET', path)
        with self._refuse_malformed():
            return LogRead(
                records=tuple(
                    LogRecord(int(entry['offset']), entry['payload'].encode())
                    for entry in page['records']
                ),
                first_offset=int(page['first_offset']),
                next_offset=int(page['next_offset']),
            )

    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        The record may exist even if PlatformUnavailableError is raised.
        """
        page = await self._fetch('POST', f'/streams/{STREAM}', payload)
        with self._refuse_malformed():
            return int(page['offset'])

    async def hosts(self) -> HostsListed:
        """Read the host list.

        Raises PlatformUnavailableError if the platform does not answer.
        """
        page = await self._fetch('GET', '/hosts')
        with self._refuse_malformed():
            return HostsListed(
                tuple(HostEntry(**entry) for entry in page['hosts']),
            )

    @contextmanager
    def _refuse_malformed(self) -> Iterator[None]:
        """Turn the errors of decoding an answer into the one of the client."""
        try:
            yield
        except _DECODE_ERRORS as error:
            raise PlatformUnavailableError(
                f'malformed answer of {self._address.url}: {error!r}',
            ) from error

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> Any:
        timeout_s = self._address.timeout_ms / _MS_PER_S
        request = HTTPRequest(
            self._address.url + path,
            method=method,
            body=body,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError) as error:
            raise PlatformUnavailableError(
                f'the platform at {self._address.url} does not answer: {error}',
            ) from error
        try:
            return json.loads(response.body)
        except (ValueError, RecursionError) as error:
            raise PlatformUnavailableError(
                f'the platform at {self._address.url} sent no JSON',
            ) from error
