"""Structured log lines on standard output, bounded and never blocking."""

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

# Lines that are kept while the reader of standard output does not read.
MAX_PENDING_LINES = 2000
# Decisions that went well are logged at this rate at most.
MAX_ROUTINE_LINES_PER_S = 50
_US_PER_S = 1_000_000


class LineWriter:
    """Writes lines to a pipe without blocking; drops and counts the rest."""

    __slots__ = ('_descriptor', '_partial', '_pending', 'dropped')

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._partial = b''
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or keep it until the pipe has room."""
        if len(self._pending) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        self._pending.append(line.encode())
        self.flush()

    def flush(self) -> None:
        """Write as much as the pipe takes now."""
        while self._partial or self._pending:
            chunk = self._partial or self._pending.popleft()
            try:
                count = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._partial = chunk
                return
            except OSError:
                # Nobody can read the log any more; serving goes on.
                self.dropped += 1
                count = len(chunk)
            self._partial = chunk[count:]


class RoutineBudget:
    """Bounds the lines about requests that went well."""

    __slots__ = ('_count', '_second', 'left_out')

    def __init__(self) -> None:
        """Start with a full budget."""
        self._second = 0
        self._count = 0
        self.left_out = 0

    def spend(self) -> bool:
        """Whether one more routine line may be written this second."""
        second = boot_time_us() // _US_PER_S
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        if self._count > MAX_ROUTINE_LINES_PER_S:
            self.left_out += 1
            return False
        return True


def configure(host_id: str) -> LineWriter:
    """Send log lines of this process to standard output as JSON."""
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
