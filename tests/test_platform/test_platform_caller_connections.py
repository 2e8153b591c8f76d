"""A connection that waits for too long is closed only if nothing of a request is there.

A late loop looks at the time of a wait before it reads the socket, or after it has read
the request and before it passes it on. Each was closed at that moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Iterator

import attrs
import pytest

from cicadacourse.catalog import CallerLimits
from cicadacourse.metrics import Metrics
from cicadacourse.platform._caller_connections import WaitingConnections
from cicadacourse.platform._client_stream import ClientStream
from cicadacourse.platform._wait_limits import WaitLimits
from cicadacourse.resources import MemoryAccount

LINE = b"GET / HTTP/1.1\r\n"
LONG_S = 60.0


@attrs.define
class _Pair:
    """A connection that waits for a line, and its caller's end."""

    stream: ClientStream
    caller: socket.socket
    waiting: WaitingConnections
    line: asyncio.Future[bytes]

    def is_kept(self) -> bool:
        """Looks at the times of the waits now; returns whether it stays open."""
        self.waiting._close_overdue()
        return not self.stream.closed()


@contextlib.contextmanager
def _pair(idle_s: float = -1.0, header_s: float = -1.0) -> Iterator[_Pair]:
    """Yields a connection; a limit that is negative is over at once."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        caller = socket.create_connection(server.getsockname())
        own, _ = server.accept()
    limits = WaitLimits(0.0, 0.0, CallerLimits(0, 0, header_s, idle_s))
    waiting = WaitingConnections(Metrics(), limits)
    stream = ClientStream(own, account=MemoryAccount(10**9, Metrics()))
    waiting.begin_wait(stream)
    yield _Pair(stream, caller, waiting, stream.read_until(b"\r\n"))
    stream.close()
    caller.close()


async def test_it_is_closed_if_nothing_is_there() -> None:
    with _pair() as pair:
        assert not pair.is_kept()
        with contextlib.suppress(Exception):
            await pair.line


@pytest.mark.parametrize("begun", [b"", b"GET"])
async def test_it_is_kept_while_its_socket_holds_bytes(begun: bytes) -> None:
    with _pair() as pair:
        pair.caller.send(begun)
        if begun:
            while pair.stream.head_began_at is None:
                await asyncio.sleep(0)
        pair.caller.send(LINE[len(begun) :])
        assert pair.is_kept()
        assert await pair.line == LINE


async def test_it_is_kept_while_its_request_is_read_and_not_passed_on() -> None:
    with _pair() as pair:
        pair.caller.send(LINE)
        while pair.stream.reading():
            await asyncio.sleep(0)
        assert pair.is_kept()
        assert await pair.line == LINE


async def test_it_is_kept_for_the_time_of_a_head_once_that_has_begun() -> None:
    with _pair(header_s=LONG_S) as pair:
        pair.caller.send(LINE[:3])
        while pair.stream.head_began_at is None:
            await asyncio.sleep(0)
        assert pair.is_kept()


async def test_it_is_kept_for_the_time_of_a_head_that_was_pipelined() -> None:
    """It counted as idle until more of the head came."""
    with _pair(header_s=LONG_S) as pair:
        pair.caller.send(LINE + LINE[:3])
        assert await pair.line == LINE
        pair.waiting.begin_wait(pair.stream)
        line = pair.stream.read_until(b"\r\n")
        assert pair.is_kept()
        assert not pair.stream.is_unused
        pair.caller.send(LINE[3:])
        assert await line == LINE


async def test_it_is_closed_if_only_a_part_of_a_head_is_there() -> None:
    with _pair(idle_s=LONG_S) as pair:
        pair.caller.send(LINE[:3])
        while pair.stream.head_began_at is None:
            await asyncio.sleep(0)
        assert not pair.is_kept()
        with contextlib.suppress(Exception):
            await pair.line


async def test_it_is_forgotten_once_its_caller_has_closed_it() -> None:
    with _pair(idle_s=LONG_S) as pair:
        pair.caller.close()
        while not pair.stream.closed():
            await asyncio.sleep(0)
        pair.waiting._close_overdue()
        assert not pair.waiting._streams
        with contextlib.suppress(Exception):
            await pair.line
