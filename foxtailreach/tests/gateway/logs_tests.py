"""Log lines that nobody reads, and what callers put into them."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest

from foxtailreach.gateway.logs import LineWriter

Pipe = tuple[int, int]
MOST_BYTES = 4 * 1024 * 1024


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    """Open a pipe; its first end is not read."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


@pytest.mark.parametrize('line_bytes', [100, 16_384, 98_304])
def test_lines_that_nobody_reads_are_bounded_in_bytes(
    line_bytes: int, pipe: Pipe
) -> None:
    """Guards against memory that callers fill with long request ids."""
    writer = LineWriter(pipe[1])
    for _ in range(3000):
        writer.write('x' * line_bytes)
    held_bytes = sum(map(len, writer._pending)) + len(writer._partial)
    assert held_bytes <= MOST_BYTES
    assert writer.dropped


def test_all_lines_are_written_once_somebody_reads(pipe: Pipe) -> None:
    writer = LineWriter(pipe[1])
    lines = [f'{number:06d}' * 2000 for number in range(60)]
    for line in lines:
        writer.write(line)
    received = b''
    while len(received) < sum(map(len, lines)):
        received += os.read(pipe[0], 65_536)
        writer.flush()
    assert received.decode() == ''.join(lines)
    assert not writer.dropped
    assert not writer.pending_bytes
