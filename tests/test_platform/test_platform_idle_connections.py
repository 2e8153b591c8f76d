"""Callers' connections that wait for a request, and when they are closed.

A connection is closed for its idle time only while nothing of a request is there. The
timer was armed with the limit of the time when the wait began, and it fired before the
socket was read if the event loop was late: a request was closed without an answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any, AsyncIterator

import attrs
import logbook
import pytest

from cicadacourse.catalog import CallerLimits, CatalogSettings
from cicadacourse.logs import CONNECTIONS_CLOSED
from cicadacourse.platform import _ingress
from cicadacourse.platform._wait_limits import WaitLimits
from cicadacourse.util.clock import MS_PER_S
from standins.callers import Response, read_response
from standins.platform import Fleet
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
)

SHORT_S = 0.8
LONG_S = 60.0
# For how long former limits count for waits that begin after they were replaced.
BOUND_S = 0.2
HEAD = b"POST /look/x HTTP/1.1\r\nHost: fleet.example\r\n"
CLOSED = "caller_connections_closed_total"
EMPTY_BODY = b"Content-Length: 0\r\nAuthorization: Bearer key-of-acme\r\n\r\n"


@pytest.fixture(autouse=True)
def _without_margin(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets connections end at the limit itself, to keep the tests short."""
    monkeypatch.setattr(_ingress, "IDLE_MARGIN_S", 0.0)


@attrs.define
class _Connection:
    """A caller with one connection that it keeps."""

    fleet: Fleet
    instance: Instance
    caller: Caller
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def request(self, path: str = "/look/x") -> Response:
        """Sends a request and returns the response."""
        await self.caller.send(self.writer, path)
        return await read_response(self.reader)

    def limit(self, idle_s: float, header_s: float = 0.1) -> None:
        """Puts limits on the idle time and the time of a head in force."""
        catalog_service = self.instance.app.get("catalog")
        catalog = catalog_service.catalog
        limits = attrs.evolve(
            catalog.limits, idle_timeout_s=idle_s, header_timeout_s=header_s
        )
        newest = attrs.evolve(catalog, version=catalog.version + 1, limits=limits)
        assert catalog_service.apply_if_newer(newest, "test")

    async def is_closed(self) -> bool:
        """Waits until the instance closes the connection; returns True."""
        return await self.reader.read() == b""


@contextlib.asynccontextmanager
async def _connected(
    bound_s: float = BOUND_S, **limits: Any
) -> AsyncIterator[_Connection]:
    """Yields a connection that waits for its second request under some limits.

    :param bound_s: for how long a configuration that was replaced may be applied.
    """
    bound = CatalogSettings(superseded_bound_ms=int(bound_s * MS_PER_S))
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host(), sections=(bound,))
        async with running_instance(instance):
            reader, writer = await asyncio.open_connection(
                instance.host, instance.caller_port
            )
            caller = Caller(instance)
            connection = _Connection(fleet, instance, caller, reader, writer)
            connection.limit(**limits)
            await asyncio.sleep(BOUND_S + SHORT_S / 4)
            assert (await connection.request()).status == 200
            yield connection
            writer.close()


async def test_a_request_in_the_socket_is_served_although_the_loop_is_late() -> None:
    """The request was there before the limit, the loop only ran after it."""
    async with _connected(idle_s=SHORT_S) as connection:
        await asyncio.sleep(SHORT_S / 4)
        await connection.caller.send(connection.writer, "/look/x")
        time.sleep(SHORT_S)
        assert (await read_response(connection.reader)).status == 200


async def test_a_raised_limit_counts_for_connections_that_wait() -> None:
    async with _connected(idle_s=SHORT_S) as connection:
        connection.limit(idle_s=LONG_S)
        await asyncio.sleep(2 * SHORT_S)
        assert (await connection.request()).status == 200


async def test_a_lowered_limit_does_not_count_for_connections_that_wait() -> None:
    async with _connected(idle_s=LONG_S) as connection:
        connection.limit(idle_s=SHORT_S / 2)
        await asyncio.sleep(SHORT_S)
        assert (await connection.request()).status == 200


async def test_a_lowered_limit_does_not_count_before_callers_know_it() -> None:
    """A caller may apply the older configuration for a while as well."""
    async with _connected(bound_s=LONG_S, idle_s=LONG_S) as connection:
        connection.limit(idle_s=SHORT_S / 2)
        assert (await connection.request()).status == 200
        await asyncio.sleep(SHORT_S)
        assert (await connection.request()).status == 200


async def test_a_request_that_has_begun_has_the_time_of_a_head() -> None:
    """The time of a head counted from the begin of the wait for the request."""
    async with _connected(idle_s=SHORT_S, header_s=SHORT_S) as connection:
        await asyncio.sleep(0.6 * SHORT_S)
        connection.writer.write(HEAD)
        await asyncio.sleep(0.6 * SHORT_S)
        connection.writer.write(EMPTY_BODY)
        assert (await read_response(connection.reader)).status == 200


async def test_an_idle_connection_is_closed_and_logged() -> None:
    with logbook.TestHandler() as handler:
        async with _connected(idle_s=SHORT_S) as connection:
            host, port = connection.writer.get_extra_info("sockname")
            assert await connection.is_closed()
            metrics = connection.instance.app.metrics
    assert metrics.value(CLOSED, reason="idle") == 1
    (fields,) = [
        record.extra
        for record in handler.records
        if record.message == CONNECTIONS_CLOSED.text
    ]
    assert fields["count"] == 1
    assert fields["reason"] == "idle"
    assert fields["callers"] == [f"{host}:{port}"]
    assert fields["waited_s"] > SHORT_S


async def test_a_connection_without_any_request_is_closed() -> None:
    async with _connected(idle_s=SHORT_S) as connection:
        reader, writer = await asyncio.open_connection(
            connection.instance.host, connection.instance.caller_port
        )
        assert await reader.read() == b""
        writer.close()


async def test_a_connection_is_closed_if_a_head_takes_too_long() -> None:
    async with _connected(idle_s=SHORT_S) as connection:
        connection.writer.write(HEAD)
        assert await connection.is_closed()
        metrics = connection.instance.app.metrics
        assert metrics.value(CLOSED, reason="slow_head") == 1


async def test_a_request_in_progress_does_not_count_as_idle() -> None:
    async with _connected(idle_s=SHORT_S) as connection:
        (endpoint,) = connection.fleet.endpoint_by_id.values()
        endpoint.worker.work_s = 1.5 * SHORT_S
        assert (await connection.request("/book/x")).status == 200


async def test_a_former_limit_is_forgotten_once_no_wait_can_rely_on_it() -> None:
    limits = WaitLimits(1.0, 0.5, CallerLimits())
    limits.apply(CallerLimits(idle_timeout_s=50.0), 0.0)
    limits.apply(CallerLimits(idle_timeout_s=20.0), 10.0)
    assert [limits.idle_s(since) for since in (5.0, 11.0, 11.1)] == [50.5, 50.5, 20.5]
    limits.apply(CallerLimits(idle_timeout_s=30.0), 20.0)
    assert [limits.idle_s(since) for since in (5.0, 11.1)] == [50.5, 30.5]
    limits.apply(CallerLimits(idle_timeout_s=25.0), 200.0)
    assert [limits.idle_s(since) for since in (5.0, 201.0)] == [30.5, 30.5]
    assert limits.header_s(202.0) == CallerLimits().header_timeout_s + 0.5


async def test_limits_that_change_often_are_not_collected() -> None:
    limits = WaitLimits(1.0, 0.5, CallerLimits())
    for number in range(1000):
        idle_s = 60.0 - number % 7
        limits.apply(CallerLimits(idle_timeout_s=idle_s), float(number))
    assert len(limits._former) < 7
