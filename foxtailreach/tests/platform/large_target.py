"""A process of a target that answers with a body of a given size.

Its own process, so that it is not slowed down by the callers of a test. A path
with `large` in it gets the large body, any other a small one. Prints the port
that it listens at.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Foxtailreach-Response-Signature: s\r\n'
    b'X-Foxtailreach-Request-Id: %s\r\nContent-Length: %d\r\n\r\n'
)
ID_HEADER = b'x-foxtailreach-request-id:'
LENGTH_HEADER = b'content-length:'


def find(head: bytes, name: bytes) -> bytes:
    """Return the value of a header, or b''."""
    for line in head.split(b'\r\n'):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b''


async def answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the requests of one connection."""
    large = b'x' * int(sys.argv[1])
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(int(find(head, LENGTH_HEADER) or 0))
            path = head.split(b' ', 2)[1]
            body = large if b'large' in path else b'hi'
            writer.write(HEAD % (find(head, ID_HEADER), len(body)) + body)
            await writer.drain()


async def main() -> None:
    """Listen until the process is killed."""
    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
