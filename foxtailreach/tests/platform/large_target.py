"""A process of a target that answers with a body of a given size.

Its own process, so that it is not slowed down by the callers of a test. A path
with `large` in it gets the large body, one with `medium` a body that is sent in
one packet, any other a small one. With `slow` it takes some time, with `chunks`
the body is sent in chunks, with `unframed` its end is that of the connection.
Prints the port that it listens at.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Foxtailreach-Response-Signature: s\r\n'
    b'X-Foxtailreach-Request-Id: %s\r\n'
)
MEDIUM_BYTES = 15_000
CHUNK_BYTES = 1024
SLOW_S = 1.5
ID_HEADER = b'x-foxtailreach-request-id:'
LENGTH_HEADER = b'content-length:'


def find(head: bytes, name: bytes) -> bytes:
    """Return the value of a header, or b''."""
    for line in head.split(b'\r\n'):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b''


def choose_body(path: bytes, large: bytes) -> bytes:
    """Return the body of the size that a path names."""
    if b'large' in path:
        return large
    return b'm' * MEDIUM_BYTES if b'medium' in path else b'hi'


def framed(path: bytes, body: bytes) -> bytes:
    """Return the last headers and a body as a path wants it."""
    if b'unframed' in path:
        return b'Connection: close\r\n\r\n' + body
    if b'chunks' not in path:
        return b'Content-Length: %d\r\n\r\n' % len(body) + body
    parts = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    return b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'


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
            if b'slow' in path:
                await asyncio.sleep(SLOW_S)
            start = HEAD % find(head, ID_HEADER)
            writer.write(start + framed(path, choose_body(path, large)))
            await writer.drain()
            if b'unframed' in path:
                writer.close()
                return


async def main() -> None:
    """Listen until the process is killed."""
    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
