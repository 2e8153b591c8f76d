"""Open connections to endpoints fall silent for good while new ones work.

Kept connections fall silent together, those that wait for their next use among them. A
further attempt that took one of these was as silent as the first.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService
from cicadacourse.platform import PlatformEndpointConnector
from cicadacourse.platform._endpoint_connector import MIN_SILENCE_S
from cicadacourse.util.clock import now
from tests.raw_endpoints import identify
from tests.test_gateway.test_gateway_histories import (
    OK,
    ScheduledRequest,
    make_app,
    serve,
    with_connector,
)

ENDPOINTS = 3
TIME_LIMIT_S = 4.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=9\r\n\r\nx"


@attrs.define(eq=False)
class _Endpoints:
    """Endpoints that answer each request, but on silent connections.

    :ivar open_connections: all connections that were made.
    :ivar silent: the connections that send nothing any more.
    """

    open_connections: list[asyncio.StreamWriter] = attrs.field(factory=list)
    silent: set[asyncio.StreamWriter] = attrs.field(factory=set)

    def silence_open_connections(self) -> None:
        """Lets the connections of now stay silent for good."""
        self.silent.update(self.open_connections)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection; called by asyncio."""
        self.open_connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if writer not in self.silent:
                    writer.write(identify(RESPONSE, head))
        writer.close()


@contextlib.asynccontextmanager
async def _instance(endpoints: _Endpoints) -> AsyncIterator[Application]:
    """Yields an instance with endpoints of the pool of calls at real addresses."""
    app = make_app(make_client=with_connector(PlatformEndpointConnector))
    catalog_service: CatalogService = app.get("catalog")
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in catalog_service.registry.ready("plain"):
            server = await asyncio.start_server(endpoints.serve, "127.0.0.1", 0)
            await stack.enter_async_context(server)
            host, port = server.sockets[0].getsockname()
            moved = attrs.evolve(endpoint, address=f"{host}:{port}")
            catalog_service.registry.put(moved)
        await stack.enter_async_context(app.get("endpoint_connector").running())
        try:
            yield app
        finally:
            for writer in endpoints.open_connections:
                writer.close()
            await asyncio.sleep(0.01)


async def _send(app: Application, *numbers: int) -> list[int]:
    """Sends idempotent calls at the same time and returns their statuses."""
    requests = [
        serve(app, number, ScheduledRequest(0.0, "look", TIME_LIMIT_S))
        for number in numbers
    ]
    return [reply.status for reply, _ in await asyncio.gather(*requests)]


async def test_a_request_is_served_after_all_kept_connections_fell_silent() -> None:
    endpoints = _Endpoints()
    async with _instance(endpoints) as app:
        assert set(await _send(app, *range(12))) == {OK}
        endpoints.silence_open_connections()
        assert len(endpoints.silent) >= ENDPOINTS
        assert await _send(app, 100) == [OK]


async def test_idle_connections_beside_one_that_stays_silent_are_closed() -> None:
    """Each later request would meet another silent one, and wait for it."""
    endpoints = _Endpoints()
    async with _instance(endpoints) as app:
        await _send(app, *range(12))
        endpoints.silence_open_connections()
        await _send(app, 100)
        health = app.get("placement").health
        idle = app.get("endpoint_connector")._idle_by_endpoint
        ids = [f"plain-{number}" for number in range(ENDPOINTS)]
        blamed = [id for id in ids if health.is_ejected(id, now())]
        assert len(blamed) == 1
        assert not idle.get(blamed[0])


async def test_no_kept_connection_is_used_after_several_fell_silent() -> None:
    """A request that may run once can't be tried again, and met one more of them."""
    endpoints = _Endpoints()
    async with _instance(endpoints) as app:
        await _send(app, *range(12))
        endpoints.silence_open_connections()
        await asyncio.sleep(MIN_SILENCE_S)
        connector = app.get("endpoint_connector")
        for number in range(ENDPOINTS - 1):
            connector.close_idle_connections(f"plain-{number}")
        assert connector._idle_by_endpoint[f"plain-{ENDPOINTS - 1}"]
        requests = [
            serve(app, number, ScheduledRequest(0.0, "book", TIME_LIMIT_S))
            for number in range(200, 206)
        ]
        replies = await asyncio.gather(*requests)
        assert [reply.status for reply, _ in replies] == [OK] * 6


async def test_kept_connections_are_used_after_one_endpoint_was_silent() -> None:
    endpoints = _Endpoints()
    async with _instance(endpoints) as app:
        await _send(app, *range(12))
        connector = app.get("endpoint_connector")
        opened = len(endpoints.open_connections)
        connector.close_idle_connections("plain-0")
        connector.close_idle_connections("plain-0")
        for number in (1, 2):
            endpoint = app.get("catalog").registry.find(f"plain-{number}")
            assert connector.has_kept_connection(endpoint, True)
        assert len(endpoints.open_connections) == opened
