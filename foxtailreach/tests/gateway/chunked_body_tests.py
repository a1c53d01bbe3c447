"""Tests of bodies in chunks, against the HTTP library."""

from __future__ import annotations

import h11
import hypothesis
import pytest
from hypothesis import strategies as st

from foxtailreach.gateway.chunked_body import ChunkedBody, MalformedChunkError

HEAD = b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
MAX_LINE_BYTES = 200
CHUNKS = st.builds(
    lambda size, extension, text: (size % len(text), extension, text),
    st.sampled_from(['%x', '%X', '0%x']),
    st.sampled_from(['', ' ', ';a=b', ';a="q" ']),
    st.binary(min_size=1, max_size=40),
)


def encode(chunks: list[tuple[str, str, bytes]], end: bytes) -> bytes:
    parts = [
        f'{size}{extension}\r\n'.encode() + text + b'\r\n'
        for size, extension, text in chunks
    ]
    return b''.join(parts) + end


def decode(pieces: list[bytes], max_parts: int) -> tuple[bytes, bytes]:
    """Return the body that pieces stand for, and the bytes behind it."""
    chunks = ChunkedBody(MAX_LINE_BYTES)
    received = bytearray()
    decoded = b''
    for piece in pieces:
        received += piece
        left_bytes = -1
        while len(received) != left_bytes and not chunks.is_complete:
            left_bytes = len(received)
            decoded += chunks.decode(received, max_parts)
    assert chunks.is_complete
    return decoded, bytes(received)


def decode_by_library(encoded: bytes) -> bytes:
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(HEAD + encoded)
    body = b''
    while True:
        event = parser.next_event()
        assert event is not h11.NEED_DATA
        if isinstance(event, h11.EndOfMessage):
            return body
        if isinstance(event, h11.Data):
            body += event.data


@hypothesis.given(
    st.lists(CHUNKS, max_size=10),
    st.sampled_from([b'0\r\n\r\n', b'000\r\na: b\r\n\r\n', b'0;x\r\n\r\n']),
    st.lists(st.integers(0, 300), max_size=6),
    st.integers(1, 4),
)
def test_body_is_that_of_the_library(
    chunks: list[tuple[str, str, bytes]],
    end: bytes,
    cuts: list[int],
    max_parts: int,
) -> None:
    encoded = encode(chunks, end)
    places = [0, *sorted(cuts), len(encoded) + 4]
    sent = encoded + b'next'
    pieces = [sent[a:b] for a, b in zip(places, places[1:], strict=False)]
    decoded, rest = decode(pieces, max_parts)
    assert decoded == decode_by_library(encoded)
    assert b'next'.startswith(rest) or rest == b'next'


@pytest.mark.parametrize(
    'encoded',
    [
        b'zz\r\n',
        b'\r\n',
        b'-1\r\n',
        b'+1\r\na\r\n',
        b'0x1\r\na\r\n',
        b'1_0\r\n',
        b' 1\r\na\r\n',
        b'1\na\n',
        b'1\r\nab\r\n',
        b'1\r\na\rb',
        b'1\r\na\n',
        b'1' * 17 + b'\r\n',
        b'1;' + b'e' * MAX_LINE_BYTES,
        b'0\r\n' + b'a: b\r\n' * 40,
        b'0\r\na\nb\r\n',
    ],
)
def test_malformed_chunks_are_an_error(encoded: bytes) -> None:
    chunks = ChunkedBody(MAX_LINE_BYTES)
    with pytest.raises(MalformedChunkError):
        chunks.decode(bytearray(encoded), 100)
