"""Streams without a length that end with their connection, whole or broken off."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

import attrs
import pytest

from standins.callers import Response, event_ids
from standins.platform import (
    ENGINE_POOL,
    RegisteredEndpoint,
    Worker,
    make_configuration,
)
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    make_instance,
    running_cut_off_instance,
    running_fleet,
    running_instance,
    running_one_instance,
)
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


EVENT = b"id: %d\ndata: %d\n\n"
BEGUN_EVENTS = 3
ALL_EVENTS = 6


def _events(*numbers: int) -> bytes:
    return b"".join(EVENT % (number, number) for number in numbers)


PLAIN_HEAD = HEAD.replace(b"event-stream", b"plain")
# What an endpoint answers to a request for the rest of a stream, and may not.
ODD_RESUMPTIONS = {
    "text": PLAIN_HEAD + b"a text\n\nof two paragraphs\n\n",
    "text like events": PLAIN_HEAD + _events(3, 4, 5),
    "no event": HEAD,
    "error page": HEAD.replace(b"200 OK", b"404 No") + b"none\n\n",
    "other success": HEAD.replace(b"200 OK", b"206 Part") + _events(3, 4, 5),
    "no ids": HEAD + b"data: 3\n\ndata: 4\n\ndata: 5\n\n",
    "from the start": HEAD + _events(0, 1, 2, 3, 4, 5),
    "last event again": HEAD + _events(2, 3, 4, 5),
    "id of 5,000 digits": HEAD + b"id: " + b"9" * 5000 + b"\ndata: 3",
}


@attrs.define
class _BreakingEndpoints:
    """Endpoints that break off each stream after some events.

    :param odd: what the first of them answers to a request for the rest.
    :param is_silent: whether they fall silent in place of breaking off.
    :ivar resumptions: how many requests for the rest have come.
    """

    odd: bytes
    is_silent: bool
    resumptions: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request; called by asyncio."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"last-event-id" not in head.lower():
                answer = HEAD + _events(*range(BEGUN_EVENTS)) + b"id: 3\nda"
            elif self.resumptions:
                answer = HEAD + _events(*range(BEGUN_EVENTS, ALL_EVENTS))
            else:
                answer, self.resumptions = self.odd, 1
            writer.write(identify(answer, head))
            await writer.drain()
            if self.is_silent and b"last-event-id" not in head.lower():
                await reader.read()
        writer.close()


@pytest.mark.parametrize("is_silent", [False, True], ids=["retry", "hedge"])
@pytest.mark.parametrize("is_proxied", [False, True], ids=["direct", "proxied"])
@pytest.mark.parametrize("odd", ODD_RESUMPTIONS.values(), ids=list(ODD_RESUMPTIONS))
async def test_only_later_events_of_a_stream_follow_those_that_were_forwarded(
    odd: bytes, is_proxied: bool, is_silent: bool
) -> None:
    """Callers found other text in their stream, or an end that looked complete.

    Where the route allows a third attempt, it goes on with the stream.
    """
    endpoints = _BreakingEndpoints(odd, is_silent)
    async with running_fleet(engines=0, plain_services=0) as fleet:
        configuration = make_configuration(2)
        configuration["routes"][0]["maxAttempts"] = 2 if is_proxied else 3
        fleet.configure(configuration)
        async with contextlib.AsyncExitStack() as stack:
            for number in range(3):
                server = await asyncio.start_server(endpoints.serve, fleet.host, 0)
                await stack.enter_async_context(server)
                address = f"{fleet.host}:{server.sockets[0].getsockname()[1]}"
                worker = Worker(f"raw-{number}")
                fleet.register(RegisteredEndpoint(worker, address, ENGINE_POOL))
            run = running_cut_off_instance if is_proxied else running_one_instance
            instance = await stack.enter_async_context(run(fleet))
            response = await Caller(instance).request("/ask/x", "5000,276")
    assert endpoints.resumptions
    assert response.status == 200
    assert response.is_complete is not is_proxied
    events = BEGUN_EVENTS if is_proxied else ALL_EVENTS
    assert response.body == _events(*range(events))
