"""JSON log lines on standard output; never blocking, bounded in memory."""

from __future__ import annotations

import json
import os
import sys
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

from foxtailreach.daemon.clock import boot_time_us

if TYPE_CHECKING:
    from loguru import Record

# Lines that are buffered while standard output would block.
MAX_PENDING_LINES = 2000
MAX_PENDING_BYTES = 4 * 1024 * 1024
# Maximum rate of lines about requests that went well.
MAX_ROUTINE_LINES_PER_S = 50
_US_PER_S = 1_000_000


class LineWriter:
    """Writes lines without blocking; drops and counts those over the buffer."""

    __slots__ = (
        '_descriptor',
        '_partial',
        '_pending',
        'dropped',
        'pending_bytes',
    )

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`, which becomes non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._partial = b''
        self.pending_bytes = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or buffer it until the descriptor is writable."""
        encoded = line.encode()
        is_full = self.pending_bytes + len(encoded) > MAX_PENDING_BYTES
        if is_full or len(self._pending) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        self.pending_bytes += len(encoded)
        self._pending.append(encoded)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered bytes as possible without blocking."""
        while self._partial or self._pending:
            chunk = self._partial or self._pending.popleft()
            try:
                count = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._partial = chunk
                return
            except OSError:
                # The reader has gone; drop the line and keep serving.
                self.dropped += 1
                count = len(chunk)
            self.pending_bytes -= count
            self._partial = chunk[count:]


class RoutineLineLimiter:
    """Limits and counts log lines about requests that went well."""

    __slots__ = ('_count', '_second', 'left_out')

    def __init__(self) -> None:
        """Start with no lines counted."""
        self._second = 0
        self._count = 0
        self.left_out = 0

    def allow(self) -> bool:
        """Count a line; return whether it may be written in this second."""
        second = boot_time_us() // _US_PER_S
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        if self._count > MAX_ROUTINE_LINES_PER_S:
            self.left_out += 1
            return False
        return True


class IntervalLimiter:
    """Allows one log line in an interval, and counts those left out."""

    __slots__ = ('_interval_us', '_last_us', '_left_out')

    def __init__(self, interval_us: int) -> None:
        """Allow the first line at once."""
        self._interval_us = interval_us
        self._last_us = -interval_us
        self._left_out = 0

    def allow(self) -> bool:
        """Return whether a line may be written now."""
        now_us = boot_time_us()
        if now_us - self._last_us < self._interval_us:
            self._left_out += 1
            return False
        self._last_us = now_us
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out, self._left_out = self._left_out, 0
        return left_out


def configure(host_id: str) -> LineWriter:
    """Write the log of this process to standard output as JSON lines."""
    writer = LineWriter(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'host': host_id})
    logger.add(
        lambda message: writer.write(_line(message.record)),
        level='INFO',
        backtrace=False,
        diagnose=False,
    )
    return writer


def _line(record: Record) -> str:
    fields: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    text = json.dumps(fields, default=str)
    return f'{text}\n'
