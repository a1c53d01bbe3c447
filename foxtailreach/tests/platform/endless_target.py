"""A process of a target that answers without end, or with a small answer.

Its own process, so that it is not slowed down by the callers of a test. Prints
the port that it listens at.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

FILLING = b'x' * 32_000
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Foxtailreach-Response-Signature: s\r\n'
    b'X-Foxtailreach-Request-Id: %s\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
ID_HEADER = b'x-foxtailreach-request-id:'

# Start of the answer after its first headers, and what follows without end.
ANSWERS = {
    'small': (b'Content-Length: 2\r\n\r\nhi', b''),
    'length': (b'Content-Length: 9999999999\r\n\r\n', FILLING),
    'chunks': (CHUNKED, b'%x\r\n%s\r\n' % (len(FILLING), FILLING)),
    'tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 5000),
    'headers': (b'', b'X-A: b\r\n' * 1000),
}


async def answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the requests of one connection."""
    start, repeated = ANSWERS[sys.argv[1]]
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            names = [line.lower() for line in head.split(b'\r\n')]
            echoed = next(one for one in names if one.startswith(ID_HEADER))
            request_id = echoed.removeprefix(ID_HEADER).strip()
            writer.write(HEAD % request_id + start)
            while repeated:
                writer.write(repeated)
                await writer.drain()


async def main() -> None:
    """Listen until the process is killed."""
    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
