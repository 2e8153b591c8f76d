"""The connection to an endpoint: bounded buffers, no byte of another answer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator, Awaitable, Callable

import h11
import pytest

from cicadacourse.util import channel
from cicadacourse.util.channel import HttpConnection, HttpConnectionError

FLOOD_BYTES = 64 * 1024 * 1024
BLOCK = b"x" * 65_536
HEADERS = [("Host", "endpoint"), ("Content-Length", "0")]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def connected(serve: Serve) -> AsyncIterator[HttpConnection]:
    """Yields a connection to a server that a test writes."""

    async def serve_quietly(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await serve(reader, writer)

    async with await asyncio.start_server(serve_quietly, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()[:2]
        opened = await HttpConnection.connect(f"{host}:{port}", 5.0)
        try:
            yield opened
        finally:
            opened.close()


async def read_to_end(opened: HttpConnection) -> bytes:
    """Sends a request and returns the body of its answer."""
    opened.send("GET", "/", HEADERS, b"")
    body = b""
    while not isinstance(part := await opened.receive(), h11.EndOfMessage):
        body += part.data if isinstance(part, h11.Data) else b""
    return bytes(body)


async def test_an_unread_answer_holds_bounded_bytes_and_makes_the_endpoint_wait() -> (
    None
):
    sent = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % FLOOD_BYTES)
        while sent < FLOOD_BYTES:
            writer.write(BLOCK)
            await writer.drain()
            sent += len(BLOCK)

    async with connected(serve) as opened:
        opened.send("GET", "/", HEADERS, b"")
        last = -1
        while last != sent:
            last = sent
            await asyncio.sleep(0.2)
        assert sent < FLOOD_BYTES
        held = sum(len(getattr(event, "data", b"")) for event in opened._events)
        assert held < 4 * channel.MAX_BUFFERED_BYTES
        read = 0
        while not isinstance(part := await opened.receive(), h11.EndOfMessage):
            read += len(part.data) if isinstance(part, h11.Data) else 0
        assert read == FLOOD_BYTES


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 2",
        b"nonsense\r\n\r\n",
        b"",
    ],
)
async def test_an_answer_that_breaks_off_or_is_none_never_ends(answer: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async with connected(serve) as opened:
        with pytest.raises(HttpConnectionError):
            await read_to_end(opened)
        opened.end_exchange(keep_alive_s=10.0)
        assert not opened.is_reusable


async def test_a_connection_is_used_again_only_after_a_whole_answer() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)

    async with connected(serve) as opened:
        for _ in range(3):
            assert await read_to_end(opened) == b"ok"
            assert not opened.is_reusable
            opened.end_exchange(keep_alive_s=10.0)
            assert opened.is_reusable


async def test_bytes_that_belong_to_no_request_end_the_connection() -> None:
    more = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        await more.wait()
        writer.write(OK)

    async with connected(serve) as opened:
        await read_to_end(opened)
        opened.end_exchange(keep_alive_s=10.0)
        more.set()
        while opened.is_reusable:
            await asyncio.sleep(0.01)
        with pytest.raises(HttpConnectionError):
            opened.send("GET", "/", HEADERS, b"")
