"""Decodes bodies that are sent in chunks (RFC 9112, section 7.1).

The HTTP library is not used for them, as it keeps all bytes that follow, and
takes three times as long for chunks of one byte.
"""

from __future__ import annotations

import re

# Size, and an extension that is ignored.
_SIZE_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})(?:;[^\r\n\x00]*|[ \t]*)\r\n',
)
_TRAILER_LINE = re.compile(rb'([^\r\n\x00]*)\r\n')
_LINE_END = b'\r\n'


class MalformedChunkError(Exception):
    """A body is not encoded as chunks should be."""


class ChunkedBody:
    """The state of a body that arrives in chunks.

    Lines that do not end within `max_line_bytes` are malformed, and so are
    longer trailers. `needs_bytes` tells that all that was there is decoded.
    """

    __slots__ = (
        '_is_in_trailers',
        '_left_bytes',
        '_line_bytes_left',
        '_position',
        'is_complete',
        'needs_bytes',
    )

    def __init__(self, max_line_bytes: int) -> None:
        """Start before the first chunk."""
        self.is_complete = False
        self.needs_bytes = True
        self._is_in_trailers = False
        # Of the current chunk, with the line break at its end.
        self._left_bytes = 0
        self._line_bytes_left = max_line_bytes
        self._position = 0

    def decode(self, received: bytearray, max_parts: int) -> bytearray:
        """Remove chunks from the start of `received`; return their data.

        Stops after `max_parts` chunks or trailers, and when bytes are missing.
        Raises MalformedChunkError.
        """
        self._position = 0
        decoded = bytearray()
        self.needs_bytes = False
        for _ in range(max_parts):
            if not self._decode_part(received, decoded):
                self.needs_bytes = True
                break
        del received[: self._position]
        return decoded

    def _decode_part(self, received: bytearray, decoded: bytearray) -> bool:
        """Decode a chunk or a trailer; False if no further one is there."""
        if self._is_in_trailers:
            return self._read_trailer(received)
        if not self._left_bytes and not self._read_size(received):
            return False
        if self._is_in_trailers:
            return True
        return self._read_data(received, decoded)

    def _read_size(self, received: bytearray) -> bool:
        line = self._read_line(_SIZE_LINE, received)
        if line is None:
            return False
        size_bytes = int(line[1], 16)
        self._is_in_trailers = not size_bytes
        self._left_bytes = size_bytes + len(_LINE_END)
        return True

    def _read_data(self, received: bytearray, decoded: bytearray) -> bool:
        """Take what there is of a chunk; return whether it has ended."""
        data_bytes = max(0, self._left_bytes - len(_LINE_END))
        start = self._position
        end = min(len(received), start + data_bytes)
        decoded += memoryview(received)[start:end]
        self._position = end
        self._left_bytes -= end - start
        if self._left_bytes > len(_LINE_END):
            return False
        line_end = received[end : end + self._left_bytes]
        if not _LINE_END.startswith(bytes(line_end)):
            raise MalformedChunkError
        if len(line_end) < self._left_bytes:
            return False
        self._position += self._left_bytes
        self._left_bytes = 0
        return True

    def _read_trailer(self, received: bytearray) -> bool:
        line = self._read_line(_TRAILER_LINE, received)
        if line is None:
            return False
        self._line_bytes_left -= len(line[0])
        self.is_complete = not line[1]
        return not self.is_complete

    def _read_line(
        self, pattern: re.Pattern[bytes], received: bytearray
    ) -> re.Match[bytes] | None:
        """Return a line and step behind it; None if it has no end yet."""
        line = pattern.match(received, self._position)
        if line is not None:
            self._position = line.end()
            return line
        left_bytes = len(received) - self._position
        has_end = received.find(b'\n', self._position) >= 0
        if has_end or left_bytes > self._line_bytes_left:
            raise MalformedChunkError
        return None
