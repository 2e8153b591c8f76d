"""Endpoints that send bytes without end: an instance bounds what it keeps of them.

It kept all bytes of a body or an unfinished event, and searched all of them again with
each chunk, which stopped its event loop for seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

import pytest

from cicadacourse.exchange import MAX_BODY_BYTES
from cicadacourse.gateway import MAX_EVENT_BYTES
from cicadacourse.util.clock import now
from cicadacourse.util.connection import MAX_BUFFERED_BYTES
from standins.platform import ENGINE_POOL, PLAIN_POOL, RegisteredEndpoint, Worker
from standins.ports import next_host
from tests.platform_fleet import Caller, make_instance, running_fleet, running_instance
from tests.raw_endpoints import identify

BLOCK = b"x" * 65_536
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
# Sockets and the loop's own buffers hold some more than what an instance keeps.
SLACK_BYTES = 16 * 1024 * 1024


class EndlessServer:
    """A server that answers each request with a head and then with bytes without end.

    :param head: what it sends first.
    :param is_chunked: whether each block is a chunk of a chunked body.
    :ivar sent: the bytes that were written to the connections.
    """

    def __init__(self, head: bytes, is_chunked: bool = False) -> None:
        self.head = head
        self.is_valid = head.startswith(b"HTTP/1.1 ")
        self.is_chunked = is_chunked
        self.sent = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it is closed."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(identify(self.head, head) if self.is_valid else self.head)
            while True:
                size = b"%x\r\n" % len(BLOCK) if self.is_chunked else b""
                writer.write(size + BLOCK + (b"\r\n" if self.is_chunked else b""))
                await writer.drain()
                self.sent += len(BLOCK)

    @contextlib.asynccontextmanager
    async def running(self, host: str) -> AsyncIterator[str]:
        """Yields the server's address."""
        async with await asyncio.start_server(self.serve, host, 0) as server:
            yield f"{host}:{server.sockets[0].getsockname()[1]}"


async def _request(server: EndlessServer, path: str, tokens: str | None) -> float:
    """Sends a request that the server answers; returns the longest stall in seconds."""
    pool = ENGINE_POOL if tokens else PLAIN_POOL
    async with running_fleet(engines=0, plain_services=0) as fleet:
        async with server.running(fleet.host) as address:
            endpoint = RegisteredEndpoint(Worker("endless"), address, pool)
            fleet.register(endpoint)
            instance = make_instance(fleet, "one", next_host())
            async with running_instance(instance):
                watch = asyncio.create_task(_longest_stall_s())
                caller = Caller(instance)
                response = await caller.request(path, tokens, timeout_ms=3000)
                assert response.status in (502, 504) or not response.is_complete
                watch.cancel()
                return await watch


async def _longest_stall_s() -> float:
    longest_s = 0.0
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            since = now()
            await asyncio.sleep(0.01)
            longest_s = max(longest_s, now() - since)
    return longest_s


@pytest.mark.parametrize(
    ("server", "path", "tokens", "kept"),
    [
        (EndlessServer(b"HTTP/1.1 200 OK\r\nX-"), "/look/x", None, 65_536),
        (EndlessServer(b"garbage "), "/look/x", None, 65_536),
        (EndlessServer(b"HTTP/1.1 200 OK\r\n\r\n"), "/look/x", None, MAX_BODY_BYTES),
        (EndlessServer(STREAM + b"\r\n"), "/ask/x", "5000,230", MAX_EVENT_BYTES),
        (
            EndlessServer(STREAM + b"Transfer-Encoding: chunked\r\n\r\n", True),
            "/ask/x",
            "5000,230",
            MAX_EVENT_BYTES,
        ),
        (
            EndlessServer(b"HTTP/1.1 500 Error\r\n\r\n"),
            "/ask/x",
            "5000,230",
            MAX_BODY_BYTES,
        ),
    ],
    ids=["head", "garbage", "body", "event", "chunked-event", "error-body"],
)
async def test_bytes_without_end_are_cut_off(
    server: EndlessServer, path: str, tokens: str | None, kept: int
) -> None:
    stall_s = await _request(server, path, tokens)
    assert server.sent <= 2 * kept + MAX_BUFFERED_BYTES + SLACK_BYTES
    assert stall_s < 1.0
