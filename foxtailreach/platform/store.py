"""Client of the platform's store: keyed topics of an append-only log."""

from __future__ import annotations

import base64
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.netutil import Resolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from foxtailreach.core.dispatch.eras import MAX_ERA
from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.exceptions import (
    HistoryTrimmedError,
    PlatformUnavailableError,
    ProtocolError,
)
from foxtailreach.gateway.settings import Address
from foxtailreach.platform.fields import (
    is_usable_text,
    parse_object,
    read_integer,
    read_text,
)
from foxtailreach.platform.malformed import MALFORMED

# The store answers within 4 ms, and up to 70 times slower at its worst.
CALL_TIMEOUT_S = 1.0
# Calls that were given up hold their connection until they time out.
MAX_CLIENTS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024
TOPIC_PARTITION = 0
MAX_LOGGED_LENGTH = 200
# Counts how often the store was restored from a copy; see
# docs/design/store-eras.md.
ERA_HEADER = 'Store-Era'
MAX_ERA_DIGITS = 9
_LENGTH = struct.Struct('!I')
_PAGE_HEADER = struct.Struct('!QQ')
_GONE = 410
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class TopicPage:
    """Records of a topic, and the offset after the newest one.

    `is_whole` if they are the newest record of each key, not a part of the log;
    `is_last` if the log held no further records. `era` counts how often the
    store came back from a copy; offsets of different eras cannot be compared.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    is_whole: bool = False
    is_last: bool = True
    era: int = 0


class StoreClient:
    """Client for all calls to the platform's store; `calls` counts them."""

    __slots__ = ('_base_url', '_client', 'calls')

    def __init__(self, address: Address) -> None:
        """Create a client; each call opens its own connection."""
        self._base_url = f'http://{address.host}:{address.port}/foxtailreach'
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_buffer_size=MAX_ANSWER_BYTES,
            resolver=_NumericResolver(),
        )
        self.calls = 0

    def close(self) -> None:
        """Close the client and abort all calls."""
        self._client.close()

    async def read(self, topic: str, offset: int, wait_ms: int) -> TopicPage:
        """Read records from `offset` on; wait up to `wait_ms` for the first.

        Raises HistoryTrimmedError if the offset is no longer kept, and
        PlatformUnavailableError if the call fails or the answer is malformed.
        """
        query = {
            'topic': topic,
            'part': TOPIC_PARTITION,
            'from': offset,
            'wait_ms': wait_ms,
        }
        answer = await self._call('log-read', query, wait_ms / _MS_PER_S)
        if answer.code == _GONE:
            raise HistoryTrimmedError(f'{topic} was trimmed past {offset}')
        try:
            return _decode_page(topic, answer.body, offset, _read_era(answer))
        except (struct.error, IndexError) as error:
            raise PlatformUnavailableError(
                f'malformed records of {topic}: {error!r}',
            ) from error

    async def read_newest(self, topic: str) -> TopicPage:
        """Read the newest record of each key of a topic, page by page.

        Raises PlatformUnavailableError if a call fails, an answer is malformed,
        or the store was restored between two pages.
        """
        records: list[KeyedRecord] = []
        query: dict[str, Any] = {'topic': topic, 'part': TOPIC_PARTITION}
        end = 0
        eras: set[int] = set()
        while True:
            answer = await self._call('log-newest', query)
            eras.add(_read_era(answer))
            if len(eras) > 1:
                raise PlatformUnavailableError(
                    f'{topic} was restored while it was listed',
                )
            try:
                page = _decode_list(topic, answer.body, query.get('after', ''))
            except ProtocolError as error:
                raise PlatformUnavailableError(
                    f'malformed list of {topic}: {error}',
                ) from error
            records.extend(page.records)
            end = end or page.end
            if not page.next_key:
                return TopicPage(
                    tuple(records), end, is_whole=True, era=min(eras)
                )
            query['after'] = page.next_key

    async def append(self, topic: str, key: str, payload: bytes) -> None:
        """Append a new value of a key.

        Raises PlatformUnavailableError if the call fails.
        """
        key_bytes = key.encode()
        frame = bytes([len(key_bytes)]) + key_bytes + payload
        await self._call(
            'log-append',
            {'topic': topic, 'part': TOPIC_PARTITION},
            body=_LENGTH.pack(len(frame)) + frame,
        )

    async def _call(
        self,
        name: str,
        query: dict[str, Any],
        wait_s: float = 0,
        body: bytes | None = None,
    ) -> HTTPResponse:
        self.calls += 1
        try:
            answer = await self._client.fetch(
                f'{self._base_url}/{name}?{urlencode(query)}',
                method='GET' if body is None else 'POST',
                body=body,
                connect_timeout=CALL_TIMEOUT_S,
                request_timeout=wait_s + CALL_TIMEOUT_S,
                raise_error=False,
                decompress_response=False,
            )
        except (OSError, HTTPClientError) as error:
            raise PlatformUnavailableError(f'{name}: {error}') from error
        if answer.code not in {200, _GONE}:
            raise PlatformUnavailableError(
                f'{name}: status {answer.code} {answer.error or ""}',
            )
        return answer


class _NumericResolver(Resolver):
    """Resolves IP addresses without the thread that name lookups need."""

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_INET,
    ) -> list[tuple[int, Any]]:
        """Return the address itself."""
        return [(socket.AF_INET, (host, port))]


def _read_era(answer: HTTPResponse) -> int:
    """Return the era of the store that an answer names; 0 if it names none.

    Raises PlatformUnavailableError if it is no era.
    """
    text = answer.headers.get(ERA_HEADER, '0')
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_ERA_DIGITS or int(text) > MAX_ERA:
        raise PlatformUnavailableError(
            f'malformed era {text[:MAX_LOGGED_LENGTH]!r}',
        )
    return int(text)


def _decode_page(
    topic: str, body: bytes, offset: int, era: int = 0
) -> TopicPage:
    end, first = _PAGE_HEADER.unpack_from(body)
    del first
    records = []
    next_offset = offset
    for frame in _split_records(body[_PAGE_HEADER.size :]):
        record = _decode_frame(topic, frame, next_offset)
        next_offset += 1
        if record is not None:
            records.append(record)
    # The size of an answer is limited.
    return TopicPage(
        tuple(records),
        next_offset,
        is_last=next_offset >= int(end),
        era=era,
    )


def _decode_frame(topic: str, frame: bytes, offset: int) -> KeyedRecord | None:
    """Decode a record of the log; None if it names no usable key."""
    key_end = 1 + sum(frame[:1])
    try:
        key = frame[1:key_end].decode()
    except UnicodeDecodeError as error:
        MALFORMED.record(topic, repr(frame[:key_end]), error)
        return None
    if len(frame) < key_end or not is_usable_text(key):
        MALFORMED.record(topic, key, ProtocolError('the key cannot be used'))
        return None
    return KeyedRecord(key, frame[key_end:], offset)


def _split_records(stream: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(stream):
        (size,) = _LENGTH.unpack_from(stream, position)
        position += _LENGTH.size
        if position + size > len(stream):
            raise IndexError('a record is truncated')
        yield stream[position : position + size]
        position += size


@dataclass(slots=True, frozen=True)
class _ListPage:
    """A page of the newest records; `next_key` is '' if it is the last one."""

    records: tuple[KeyedRecord, ...]
    end: int
    next_key: str


def _decode_list(topic: str, body: bytes, after: str) -> _ListPage:
    """Decode a page of the list after a key; skip odd entries in it.

    Raises ProtocolError if it is no page, or if no further page can follow.
    """
    page = parse_object(body)
    entries = page.get('items')
    if not isinstance(entries, list):
        raise ProtocolError('items is not a list')
    records = [_decode_item(topic, entry) for entry in entries]
    next_key = _last_key(entries) if page.get('more') else ''
    if page.get('more') and next_key in {'', after}:
        raise ProtocolError('no key leads to the next page')
    return _ListPage(
        tuple(record for record in records if record is not None),
        read_integer(page, 'end'),
        next_key,
    )


def _last_key(entries: list[Any]) -> str:
    """Return the key of the last entry, '' if it has none."""
    last = entries[-1] if entries else None
    key = last.get('key') if isinstance(last, dict) else None
    is_encodable = isinstance(key, str) and key.isprintable()
    return str(key) if is_encodable else ''


def _decode_item(topic: str, entry: Any) -> KeyedRecord | None:
    try:
        return _decode_entry(entry)
    except (ProtocolError, ValueError, TypeError) as error:
        MALFORMED.record(topic, repr(entry)[:MAX_LOGGED_LENGTH], error)
        return None


def _decode_entry(entry: Any) -> KeyedRecord:
    if not isinstance(entry, dict):
        raise ProtocolError('the entry is not an object')
    return KeyedRecord(
        key=read_text(entry, 'key'),
        payload=base64.b64decode(entry.get('value', ''), validate=True),
        offset=read_integer(entry, 'offset'),
    )
