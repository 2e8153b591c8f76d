"""Streams without a length that end with their connection, whole or broken off."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

import pytest

from standins.callers import Response, event_ids
from standins.platform import ENGINE_POOL, RegisteredEndpoint, Worker
from standins.ports import next_host
from tests.platform_fleet import Caller, make_instance, running_fleet, running_instance
from tests.raw_endpoints import identify

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"


@contextlib.asynccontextmanager
async def _server(host: str, answer: bytes) -> AsyncIterator[str]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(identify(answer, head))
            await writer.drain()
        writer.close()

    async with await asyncio.start_server(serve, host, 0) as server:
        yield f"{host}:{server.sockets[0].getsockname()[1]}"


async def _request(answer: bytes, **headers: str) -> Response:
    async with running_fleet(engines=0, plain_services=0) as fleet:
        async with _server(fleet.host, answer) as address:
            endpoint = RegisteredEndpoint(Worker("raw"), address, ENGINE_POOL)
            fleet.register(endpoint)
            instance = make_instance(fleet, "one", next_host())
            async with running_instance(instance):
                return await Caller(instance).request("/ask/x", "5000,92", **headers)


async def test_a_stream_that_ends_after_an_event_is_complete() -> None:
    response = await _request(HEAD + EVENTS)
    assert response.status == 200 and response.is_complete
    assert event_ids(response.body) == [0, 1]


@pytest.mark.parametrize("partial", [b"i", b"id: 2\n", b"id: 2\ndata: c\n"])
async def test_a_stream_that_ends_inside_an_event_is_broken_off(partial: bytes) -> None:
    response = await _request(HEAD + EVENTS + partial)
    assert not response.is_complete
    assert b"id: 2" not in response.body


async def test_a_stream_that_ends_before_its_first_event_is_broken_off() -> None:
    """It was forwarded as a complete stream without an event."""
    response = await _request(HEAD)
    assert response.status == 502


async def test_a_resumed_stream_may_have_no_event_left() -> None:
    response = await _request(HEAD, Last_Event_Id="1")
    assert response.status == 200 and response.is_complete
    assert response.body == b""
