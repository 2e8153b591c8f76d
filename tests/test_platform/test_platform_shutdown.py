"""Whole requests that reach an instance while it shuts down get a complete answer."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import AsyncIterator

from cicadacourse.exchange import CallerRequest, Reply, ResponseHead
from standins.callers import Response, read_response
from standins.platform import Fleet, make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

CONNECTIONS = 8
LONG_WORK_S = 30.0
LARGE_BODY_BYTES = 6_000_000
SLOW_CALLER_S = 1.2


@contextlib.asynccontextmanager
async def _running_until_closed(
    stack: contextlib.AsyncExitStack,
) -> AsyncIterator[tuple[Fleet, Instance]]:
    """Runs a fleet, and an instance that stops once the stack is closed."""
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        await stack.enter_async_context(running_instance(instance))
        yield fleet, instance


async def _keep_connections(
    instance: Instance, caller: Caller
) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Returns connections on which one request each was served."""
    connections = []
    for _ in range(CONNECTIONS):
        reader, writer = await caller.open("/book/x")
        assert (await read_response(reader)).status == 200
        connections.append((reader, writer))
    return connections


async def test_requests_on_open_connections_are_refused_as_the_instance_stops() -> None:
    """Requests that came after the last check found their connections closed."""
    stack = contextlib.AsyncExitStack()
    async with _running_until_closed(stack) as (fleet, instance):
        caller = Caller(instance)
        connections = await _keep_connections(instance, caller)
        await instance.app.get("ingress").leave()
        for _, writer in connections:
            await caller.send(writer, "/book/x")
        await stack.aclose()
        for reader, writer in connections:
            response = await read_response(reader)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert response.headers["connection"] == "close"
            writer.close()
        assert fleet.count_runs(caller.sent_ids[-1]) == 0


async def test_open_connections_are_closed_as_the_instance_stops() -> None:
    stack = contextlib.AsyncExitStack()
    async with _running_until_closed(stack) as (_, instance):
        connections = await _keep_connections(instance, Caller(instance))
        await stack.aclose()
        for reader, writer in connections:
            assert await reader.read() == b""
            writer.close()


async def _read(connection: tuple[asyncio.StreamReader, object]) -> Response:
    return await read_response(connection[0])


async def test_requests_that_a_stop_ends_get_an_answer() -> None:
    """Their connections were closed without an answer at the end of the time to leave.

    One request waits for a connection to the only endpoint, the other one is there.
    """
    stack = contextlib.AsyncExitStack()
    async with _running_until_closed(stack) as (fleet, instance):
        configuration = make_configuration(2)
        for row in configuration["services"]:
            row["maxConns"] = 1
        fleet.configure(configuration)
        catalog_service = instance.app.get("catalog")
        await wait_until(lambda: catalog_service.catalog.version == 2)
        (endpoint,) = fleet.endpoint_by_id.values()
        endpoint.worker.work_s = LONG_WORK_S
        caller = Caller(instance)
        sent = await caller.open("/book/x")
        await wait_until(lambda: endpoint.worker.in_progress)
        queued = await caller.open("/book/x")
        await wait_until(lambda: len(instance.app.get("placement")._queue))
        await stack.aclose()
        assert (await _read(queued)).status == 503
        assert (await _read(sent)).status == 504
        assert fleet.count_runs(caller.sent_ids[1]) == 0
        for _, writer in (sent, queued):
            writer.close()


async def test_a_response_that_is_not_read_yet_outlasts_a_shutdown() -> None:
    """A caller that paused for a second found its response cut off."""
    stack = contextlib.AsyncExitStack()
    async with _running_until_closed(stack) as (_, instance):
        written = asyncio.Event()

        async def handle(request: CallerRequest, reply: Reply) -> None:
            await reply.send_response(ResponseHead(200, ()), b"x" * LARGE_BODY_BYTES)
            written.set()

        instance.app.get("gateway").handle = handle
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        connection.setblocking(False)
        address = (instance.host, instance.caller_port)
        await asyncio.get_running_loop().sock_connect(connection, address)
        reader, writer = await asyncio.open_connection(sock=connection, limit=4096)
        await Caller(instance).send(writer, "/book/x")
        await written.wait()
        writer.transport.pause_reading()
        stopping = asyncio.create_task(_stop(instance, stack))
        await asyncio.sleep(SLOW_CALLER_S)
        writer.transport.resume_reading()
        assert len((await read_response(reader)).body) == LARGE_BODY_BYTES
        writer.close()
        await stopping


async def _stop(instance: Instance, stack: contextlib.AsyncExitStack) -> None:
    await instance.app.get("ingress").leave()
    await stack.aclose()
