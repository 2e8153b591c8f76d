"""Bytes that a faulty endpoint sends after a complete response, on a kept connection.

The failure: they came once the next request had been sent, and were taken for the
response to it. Callers got successes that no endpoint had given them; and requests that
may run once ran twice, as a refusal said that they had not run.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator, Callable

import attrs
import pytest

from standins.callers import Response, read_response
from standins.platform import ENGINE_POOL, PLAIN_POOL, Fleet, RegisteredEndpoint, Worker
from tests.platform_fleet import (
    Caller,
    Instance,
    running_cut_off_instance,
    running_fleet,
    running_one_instance,
)
from tests.raw_endpoints import identify, read_id

OK = 200
PAIRS = 4
TRUE_BODY = b"true"
STREAM = b"id: 0\ndata: true\n\n"
TRUE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\ntrue"
)
TRUE_STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=9\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(STREAM), STREAM)
)
SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nEXTRA!!"
REFUSAL = (
    b"HTTP/1.1 %d No\r\nX-Cicadacourse-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
FAILURE = b"HTTP/1.1 404 No\r\nContent-Length: 7\r\n\r\nEXTRA!!"
FORMER = b"POST / HTTP/1.1\r\nX-Cicadacourse-Request-Id: former\r\n\r\n"
EXTRA_ANSWERS = {
    "success": SUCCESS,
    "refusal 503": REFUSAL % 503,
    "refusal 421": REFUSAL % 421,
    "refusal 429": REFUSAL % 429,
    "failure": FAILURE,
    "success of a former request": identify(SUCCESS, FORMER),
    "refusal of a former request": identify(REFUSAL % 503, FORMER),
    "success without a seal": identify(SUCCESS, FORMER, is_sealed=False),
    "bytes": b"no response\r\n\r\n",
}


@attrs.define
class _FaultyEndpoint:
    """Answers each request, and each second one only after additional bytes.

    These are what an endpoint has sent too late after the former response.

    :ivar runs_by_id: how often it has run a request, by the request's id.
    """

    extra: bytes
    answer: bytes
    runs_by_id: dict[str, int]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection; called by asyncio."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for number in range(2 * PAIRS):
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(b"question"))
                request_id = read_id(head).decode()
                self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
                writer.write(self.extra if number % 2 else b"")
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(identify(self.answer, head))
        writer.close()


@contextlib.asynccontextmanager
async def _endpoints(
    fleet: Fleet, extra: bytes, pool: str
) -> AsyncIterator[dict[str, int]]:
    """Runs three faulty endpoints; yields how often requests have run at all."""
    runs_by_id: dict[str, int] = {}
    answer = TRUE_STREAM if pool == ENGINE_POOL else TRUE_ANSWER
    async with contextlib.AsyncExitStack() as stack:
        for number in range(3):
            endpoint = _FaultyEndpoint(extra, answer, runs_by_id)
            server = await asyncio.start_server(endpoint.serve, fleet.host, 0)
            await stack.enter_async_context(server)
            host, port = server.sockets[0].getsockname()
            worker = Worker(f"raw-{number}")
            fleet.register(RegisteredEndpoint(worker, f"{host}:{port}", pool))
        yield runs_by_id


async def _ask(instance: Instance, path: str, tokens: str | None) -> list[Response]:
    """Sends requests one after the other, so that connections are used again."""
    caller = Caller(instance)
    reader, writer = await asyncio.open_connection(instance.host, instance.caller_port)
    responses = []
    with contextlib.closing(writer):
        for _ in range(2 * PAIRS):
            await caller.send(writer, path, tokens)
            responses.append(await read_response(reader))
    return responses


@pytest.mark.parametrize("path", ["/book/x", "/look/x", "/ask/x"])
@pytest.mark.parametrize("way", [running_one_instance, running_cut_off_instance])
@pytest.mark.parametrize("extra", EXTRA_ANSWERS.values(), ids=list(EXTRA_ANSWERS))
async def test_bytes_that_belong_to_no_request_answer_none(
    extra: bytes,
    way: Callable[[Fleet], contextlib.AbstractAsyncContextManager[Instance]],
    path: str,
) -> None:
    """A request that may run once gets its answer, or none that promises anything."""
    is_stream = path == "/ask/x"
    pool = ENGINE_POOL if is_stream else PLAIN_POOL
    async with running_fleet(engines=0, plain_services=0) as fleet:
        async with _endpoints(fleet, extra, pool) as runs_by_id, way(fleet) as instance:
            responses = await _ask(instance, path, "5000,46" if is_stream else None)
    assert sum(response.status == OK for response in responses) >= PAIRS
    assert all(b"EXTRA" not in response.body for response in responses)
    for response in responses:
        if response.status == OK:
            assert response.body == (STREAM if is_stream else TRUE_BODY)
        elif path == "/book/x":
            assert response.status == 502
    if path == "/book/x":
        assert set(runs_by_id.values()) == {1}


@pytest.mark.parametrize("path", ["/book/x", "/ask/x"])
async def test_a_success_without_a_seal_is_no_answer(path: str) -> None:
    """Its endpoint seals each success, so that it names the request by chance."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        answer = TRUE_STREAM if path == "/ask/x" else TRUE_ANSWER
        writer.write(identify(answer, head, is_sealed=False))
        writer.close()

    pool = ENGINE_POOL if path == "/ask/x" else PLAIN_POOL
    async with running_fleet(engines=0, plain_services=0) as fleet:
        async with await asyncio.start_server(serve, fleet.host, 0) as server:
            host, port = server.sockets[0].getsockname()
            worker = Worker("raw")
            fleet.register(RegisteredEndpoint(worker, f"{host}:{port}", pool))
            async with running_one_instance(fleet) as instance:
                tokens = "5000,46" if path == "/ask/x" else None
                response = await Caller(instance).request(path, tokens)
    assert response.status == 502
    assert b"true" not in response.body


LONG_PROMPT = "460000,92"
ENGINES = 8


@attrs.define
class _FaultyRelay:
    """Forwards connections to an engine; sends extra bytes before later responses.

    :ivar sent: how often it has sent them.
    """

    target: str
    extra: bytes
    sent: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection; called by asyncio."""
        to_engine, from_engine = None, None
        with contextlib.suppress(ConnectionError):
            engine, to_engine = await asyncio.open_connection(*self.target.split(":"))
            from_engine = asyncio.create_task(self._copy(engine, writer))
            requests = 0
            while data := await reader.read(65_536):
                requests += data.count(b" HTTP/1.1\r\n")
                if requests > 1:
                    self.sent += 1
                    writer.write(self.extra)
                to_engine.write(data)
        for item in (writer, to_engine):
            if item is not None:
                item.close()
        if from_engine is not None:
            await asyncio.gather(from_engine, return_exceptions=True)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                writer.write(data)


@pytest.mark.parametrize("name", ["success", "refusal 503"])
async def test_a_prompt_with_reserved_cache_gets_no_foreign_answer(name: str) -> None:
    """Its orders go on connections of their own, its request on a kept one."""
    async with running_fleet(engines=ENGINES, plain_services=0) as fleet:
        async with contextlib.AsyncExitStack() as stack:
            relays = []
            for endpoint in fleet.endpoint_by_id.values():
                relay = _FaultyRelay(endpoint.address, EXTRA_ANSWERS[name])
                server = await asyncio.start_server(relay.serve, fleet.host, 0)
                await stack.enter_async_context(server)
                host, port = server.sockets[0].getsockname()
                endpoint.address = f"{host}:{port}"
                assert endpoint.worker.engine is not None
                endpoint.worker.engine.name = endpoint.address
                fleet.register(endpoint)
                relays.append(relay)
            instance = await stack.enter_async_context(running_one_instance(fleet))
            metrics = instance.app.metrics
            caller = Caller(instance)
            for _ in range(PAIRS):
                # Short prompts leave kept connections, which long ones use then.
                await asyncio.gather(
                    *(caller.request("/ask/x", "5000,46") for _ in range(ENGINES))
                )
                response = await caller.request("/ask/x", LONG_PROMPT)
                assert b"EXTRA" not in response.body
                if response.status == OK:
                    seal = response.headers["x-cicadacourse-server-seal"]
                    assert seal.endswith(f".{caller.sent_ids[-1]}")
                elif response.status != 502:
                    assert not fleet.count_runs(caller.sent_ids[-1])
            reserved = metrics.value(
                "reservations_total", action="reserve", outcome="ok"
            )
    assert reserved
    assert sum(relay.sent for relay in relays)
