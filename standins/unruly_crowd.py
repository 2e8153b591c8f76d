"""A crowd of clients that don't behave, run as a process of its own.

``python -m standins.unruly_crowd KIND COUNT HOST:PORT...`` keeps ``COUNT`` connections
to each address. Each sends what its kind says and is made again when it ends. It prints
``settled`` once the crowd has sent nothing more for a while, or has sent for
``MAX_SETTLE_S``, and stays until its standard input ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
from typing import Iterator

import attrs

from standins.platform import HOST, KEY

MAX_BODY_BYTES = 4_194_304
BLOCK_BYTES = 65_536
BLOCK = b"x" * BLOCK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, BLOCK)
# So many chunks of one byte are written at once.
SMALL_CHUNKS = b"1\r\nx\r\n" * 10_000
FAR_OVER_THE_LIMIT = 16 * MAX_BODY_BYTES
RECONNECT_S = 0.2
# What a connection buffers of what it does not read.
UNREAD_BYTES = 4096
SETTLED_S = 1.0
MAX_SETTLE_S = 12.0
REPORT_PERIOD_S = 0.1


def _head(
    fields: str, key: str = KEY, path: str = "/look/x", method: str = "POST"
) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n"
        f"X-Cicadacourse-Request-Id: unruly\r\n{fields}\r\n"
    ).encode()


CHUNKED = "Transfer-Encoding: chunked\r\n"
WHOLE = f"Content-Length: {MAX_BODY_BYTES}\r\n"
# Headers of a few bytes up to the limit of a configuration.
TINY_HEADERS = "a:\r\n" * 3500
# The frame of one Cap'n Proto segment of 8 MB, as large as a listener reads.
PEER_SEGMENT_WORDS = 1_000_000
PEER_FRAME = struct.pack("<II", 0, PEER_SEGMENT_WORDS)


@attrs.frozen
class Behaviour:
    """What one connection sends.

    :param head: sent first.
    :param block: sent ``blocks`` times after it; without end if that is None.
    :param last: sent last.
    :param reads: whether it reads what it is sent.
    """

    head: bytes
    block: bytes = b""
    blocks: int | None = 0
    last: bytes = b""
    reads: bool = False

    def parts(self) -> Iterator[bytes]:
        """Yields what is sent, in order."""
        yield self.head
        sent = 0
        while self.blocks is None or sent < self.blocks:
            yield self.block
            sent += 1
        yield self.last


BLOCKS_PER_BODY = MAX_BODY_BYTES // BLOCK_BYTES
BEHAVIOURS = {
    "length-short": Behaviour(_head(WHOLE), BLOCK, BLOCKS_PER_BODY - 1, BLOCK[:-1]),
    "chunked-short": Behaviour(_head(CHUNKED), CHUNK, BLOCKS_PER_BODY),
    "chunked-over": Behaviour(_head(CHUNKED), CHUNK, FAR_OVER_THE_LIMIT // BLOCK_BYTES),
    "length-over": Behaviour(
        _head(f"Content-Length: {2**30}\r\n"), BLOCK, FAR_OVER_THE_LIMIT // BLOCK_BYTES
    ),
    "chunked-no-key": Behaviour(_head(CHUNKED, "nobody"), CHUNK, BLOCKS_PER_BODY),
    "length-no-key": Behaviour(
        _head(WHOLE, "nobody"), BLOCK, BLOCKS_PER_BODY - 1, BLOCK[:-1]
    ),
    "chunked-no-route": Behaviour(
        _head(CHUNKED, path="/none/x"), CHUNK, BLOCKS_PER_BODY
    ),
    "small-chunks": Behaviour(_head(CHUNKED), SMALL_CHUNKS, None),
    "small-chunks-no-key": Behaviour(_head(CHUNKED, "nobody"), SMALL_CHUNKS, None),
    "head-short": Behaviour(_head("a: " + "x" * 100_000)[:-4]),
    "head-only": Behaviour(_head(WHOLE)),
    "silent": Behaviour(b""),
    "tiny-headers": Behaviour(
        b"", _head(TINY_HEADERS, method="GET", path="/none/x"), None, reads=True
    ),
    "pipelined": Behaviour(b"", 100 * _head("", method="GET", path="/none/x"), None),
    "answers-unread": Behaviour(_head("", method="GET")),
    "streams-unread": Behaviour(
        _head(
            "X-Cicadacourse-Model: m\r\nX-Cicadacourse-Token-Usage: 5000,230\r\n",
            path="/ask/x",
        )
    ),
    "whole": Behaviour(b"", _head(WHOLE) + BLOCKS_PER_BODY * BLOCK, None, reads=True),
    "whole-3mb": Behaviour(
        b"",
        _head(f"Content-Length: {48 * BLOCK_BYTES}\r\n") + 48 * BLOCK,
        None,
        reads=True,
    ),
    "long-ids": Behaviour(
        b"",
        f"GET /none/x HTTP/1.1\r\nHost: {HOST}\r\nX-Cicadacourse-Request-Id:"
        f" {'i' * 15_000}\r\n\r\n".encode(),
        None,
        reads=True,
    ),
    "peer-short": Behaviour(PEER_FRAME, BLOCK, 8 * PEER_SEGMENT_WORDS // BLOCK_BYTES),
    "get-short": Behaviour(
        f"GET /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: {8 * MAX_BODY_BYTES}\r\n"
        "\r\n".encode(),
        BLOCK,
        2 * BLOCKS_PER_BODY,
    ),
}


class Crowd:
    """Keeps connections that behave in one way.

    :ivar sent: how many bytes were written to the connections.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.sent = 0
        self._behaviour = behaviour

    async def keep(self, host: str, port: int) -> None:
        """Keeps one connection, and makes it again when it ends."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._run(host, port)
            await asyncio.sleep(RECONNECT_S)

    async def _run(self, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(
            sock=await _connect(host, port), limit=UNREAD_BYTES
        )
        reading = asyncio.create_task(self._read(reader))
        try:
            for part in self._behaviour.parts():
                writer.write(part)
                await writer.drain()
                self.sent += len(part)
                if reading.done():
                    return
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        """Returns when the connection has ended, as far as that shows."""
        while self._behaviour.reads:
            if not await reader.read(BLOCK_BYTES):
                return
        while reader.exception() is None and not reader.at_eof():
            await asyncio.sleep(REPORT_PERIOD_S)


async def _connect(host: str, port: int) -> socket.socket:
    """Returns a connection that buffers little of what it is sent."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return connection


async def main(kind: str, count: int, addresses: list[str]) -> None:
    """Keeps a crowd until the standard input ends."""
    crowd = Crowd(BEHAVIOURS[kind])
    tasks = []
    for address in addresses:
        host, _, port = address.rpartition(":")
        for _ in range(count):
            tasks.append(asyncio.create_task(crowd.keep(host, int(port))))
    loop = asyncio.get_running_loop()
    started = changed_at = loop.time()
    sent = 0
    while loop.time() - changed_at < SETTLED_S:
        await asyncio.sleep(REPORT_PERIOD_S)
        if crowd.sent != sent:
            sent, changed_at = crowd.sent, loop.time()
        if loop.time() - started > MAX_SETTLE_S:
            break
    print("settled", flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3:]))
