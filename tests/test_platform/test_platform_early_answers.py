"""Answers of endpoints in trouble: cut while a request is still sent, or of no status.

An endpoint answers a long upload at once with a success, sends a part of its body and
resets the connection. Other systems took that part for the whole answer, and an answer
whose status is 000 for one. Each is tried on all ways on which an answer is read.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import AsyncIterator, Callable

import attrs
import pytest

from standins.callers import Response
from standins.platform import (
    ENGINE_POOL,
    PLAIN_POOL,
    RegisteredEndpoint,
    Worker,
    make_configuration,
)
from tests.platform_fleet import (
    Caller,
    running_cut_off_instance,
    running_fleet,
    running_one_instance,
)
from tests.raw_endpoints import identify

UPLOAD = b"u" * 3_500_000
PART = b"p" * 1000
EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
LATER_EVENTS = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"c" * 30) for n in range(2, 24))
# Until when the rest of an upload has met a closed receive window.
PAUSE_S = 0.1
_RESUMED = re.compile(rb"(?i)\r\nlast-event-id:")

# How an answer with a part of its body states the end of that.
FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda part: b"Content-Length: 5000\r\n\r\n" + part,
    "chunks": lambda part: (
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(part), part)
    ),
    "none": lambda part: b"\r\n" + part,
}
WHOLE_FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda body: b"Content-Length: %d\r\n\r\n%s" % (len(body), body),
    "chunks": lambda body: FRAMINGS["chunks"](body) + b"0\r\n\r\n",
    "none": FRAMINGS["none"],
}
# Whether the endpoint ends its own direction of the connection before it resets it.
ENDS = {"reset": False, "ended, then reset": True}


@attrs.define
class TroubledEndpoints:
    """Endpoints that share what they do.

    :param answer: returns the answer to a request's head.
    :param ends_first: see :data:`ENDS`.
    :param silent: how many requests get no answer before the first one that does.
    :param waits: whether they wait for the whole request, and end without a reset.
    :ivar answered: how many requests they have answered with a part.
    """

    answer: Callable[[bytes], bytes]
    ends_first: bool = False
    silent: int = 0
    waits: bool = False
    answered: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request; called by asyncio."""
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError):
            head = await reader.readuntil(b"\r\n\r\n")
            if self.silent:
                self.silent -= 1
                await asyncio.sleep(5.0)
                return
            if self.waits:
                await reader.readexactly(len(UPLOAD))
            self.answered += 1
            writer.write(identify(self.answer(head), head))
            await writer.drain()
            if self.ends_first:
                writer.write_eof()
            await asyncio.sleep(PAUSE_S)
        if self.waits:
            writer.close()
        else:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def _running(
    endpoints: TroubledEndpoints, way: str, pool: str, attempts: int
) -> AsyncIterator[Caller]:
    run = running_cut_off_instance if way == "peer" else running_one_instance
    async with running_fleet(engines=0, plain_services=0) as fleet:
        configuration = make_configuration(2)
        for route in configuration["routes"]:
            route["maxAttempts"] = attempts
        fleet.configure(configuration)
        async with contextlib.AsyncExitStack() as stack:
            for number in range(2):
                server = await asyncio.start_server(endpoints.serve, fleet.host, 0)
                await stack.enter_async_context(server)
                address = f"{fleet.host}:{server.sockets[0].getsockname()[1]}"
                worker = Worker(f"raw-{number}")
                fleet.register(RegisteredEndpoint(worker, address, pool))
            yield Caller(await stack.enter_async_context(run(fleet)))


async def _request(
    endpoints: TroubledEndpoints, way: str, body: bytes = UPLOAD
) -> Response:
    """Sends a request on a way to endpoints, and returns its answer."""
    is_stream = way in ("stream", "resume", "stream through a peer")
    pool = ENGINE_POOL if is_stream else PLAIN_POOL
    attempts = 2 if way in ("hedge", "resume") else 1
    run = "peer" if "peer" in way else "direct"
    endpoints.silent = int(way == "hedge")
    async with _running(endpoints, run, pool, attempts) as caller:
        path, tokens = ("/ask/x", "5000,230") if is_stream else ("/look/x", None)
        if way == "unsafe":
            path = "/book/x"
        return await caller.request(path, tokens, body=body)


WAYS = (
    "direct",
    "unsafe",
    "peer",
    "hedge",
    "stream",
    "stream through a peer",
    "resume",
)


def _make_answer(way: str, frame: Callable[[bytes], bytes]) -> Callable[[bytes], bytes]:
    """Returns what an endpoint answers on a way: a success with a part of its body."""
    if way in ("stream", "stream through a peer", "resume"):
        start = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    else:
        start = b"HTTP/1.1 200 OK\r\n"

    def answer(head: bytes) -> bytes:
        if way == "resume" and not _RESUMED.search(head):
            # The first answer breaks off inside an event.
            return start + b"\r\n" + EVENTS + b"id: 2\nda"
        if way == "resume":
            return start + frame(LATER_EVENTS)
        part = EVENTS + LATER_EVENTS if "stream" in way else PART
        return start + frame(part)

    return answer


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", WAYS)
async def test_a_part_of_an_answer_to_an_unfinished_upload_is_not_whole(
    way: str, framing: str, end: str
) -> None:
    """An answer without a length was whole once its connection had an end."""
    endpoints = TroubledEndpoints(_make_answer(way, FRAMINGS[framing]), ENDS[end])
    response = await _request(endpoints, way)
    assert endpoints.answered
    assert response.status != 200 or not response.is_complete
    assert PART[:10] not in response.body


@pytest.mark.parametrize("way", ["direct", "unsafe", "peer", "stream"])
async def test_an_answer_without_length_to_a_whole_upload_is_whole(way: str) -> None:
    answer = _make_answer(way, FRAMINGS["none"])
    endpoints = TroubledEndpoints(answer, waits=True)
    response = await _request(endpoints, way)
    assert response.status == 200 and response.is_complete
    assert response.body in (PART, EVENTS + LATER_EVENTS)


STATUSES = (0, 1, 99, 100, 101, 102, 103, 150, 199, 600, 601, 700, 999)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", WAYS)
async def test_an_answer_of_no_status_is_none(way: str, framing: str) -> None:
    """Statuses above 599 were passed on as answers."""
    make_success = _make_answer(way, WHOLE_FRAMINGS[framing])
    status = b""

    def answer(head: bytes) -> bytes:
        success = make_success(head)
        if way == "resume" and not _RESUMED.search(head):
            return success
        return success.replace(b"200 OK", status + b" Odd", 1)

    for number in STATUSES:
        status = b"%03d" % number
        endpoints = TroubledEndpoints(answer)
        response = await _request(endpoints, way, body=b"question")
        assert endpoints.answered
        expected = (200,) if way == "resume" else (502, 504)
        assert response.status in expected, f"status {number}"
        assert not (response.status == 200 and response.is_complete)
        assert PART[:10] not in response.body
