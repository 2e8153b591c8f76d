"""Endpoints that decline requests for a time or as they leave, over connections."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator

import attrs
import logbook
import pytest
from returns.result import Success

from cicadacourse.catalog import Endpoint
from cicadacourse.logs import (
    ENDPOINT_ACCEPTS,
    ENDPOINT_DECLINES,
    ENDPOINT_LEAVES,
    ENDPOINT_RETRY_AFTER_REFUSED,
    LogEvent,
)
from cicadacourse.placement import RetryBudget
from cicadacourse.util.connection import HttpConnection
from standins.platform import Fleet, Worker
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

STREAM_TOKENS = "5000,92"


@attrs.frozen
class _Site:
    """One instance before two plain services and an engine."""

    fleet: Fleet
    instance: Instance
    caller: Caller

    def worker(self, endpoint_id: str) -> Worker:
        return self.fleet.endpoint_by_id[endpoint_id].worker

    def endpoint(self, endpoint_id: str) -> Endpoint:
        registry = self.instance.app.get("catalog").registry
        endpoint = registry.find(endpoint_id)
        assert endpoint is not None
        return endpoint


def count_lines(handler: logbook.TestHandler, event: LogEvent) -> int:
    """Returns how many lines of a kind were logged."""
    return sum(record.message == event.text for record in handler.records)


@contextlib.asynccontextmanager
async def _site(plain_services: int = 2) -> AsyncIterator[_Site]:
    async with running_fleet(engines=1, plain_services=plain_services) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            yield _Site(fleet, instance, Caller(instance))


async def test_a_refused_request_and_later_ones_go_elsewhere() -> None:
    async with _site() as site:
        site.worker("plain-0").retry_after_header = "30.5"
        with logbook.TestHandler().applicationbound() as handler:
            for _ in range(12):
                assert (await site.caller.request("/book/x")).status == 200
        assert len(site.worker("plain-0").arrivals) == 1
        assert count_lines(handler, ENDPOINT_DECLINES) == 1
        assert site.instance.app.metrics.value("declining_endpoints") == 1


async def test_a_time_that_is_over_is_logged_and_no_longer_counted() -> None:
    async with _site() as site:
        site.worker("plain-0").retry_after_header = "0.1"
        metrics = site.instance.app.metrics
        with logbook.TestHandler().applicationbound() as handler:
            while not site.worker("plain-0").arrivals:
                await site.caller.request("/book/x")
            site.worker("plain-0").retry_after_header = None
            await wait_until(lambda: not metrics.value("declining_endpoints"))
        assert count_lines(handler, ENDPOINT_ACCEPTS) == 1


async def test_a_time_that_cannot_be_read_is_logged_and_ignored() -> None:
    async with _site() as site:
        site.worker("plain-0").retry_after_header = "soon"
        with logbook.TestHandler().applicationbound() as handler:
            while not site.worker("plain-0").arrivals:
                await site.caller.request("/book/x")
        assert count_lines(handler, ENDPOINT_RETRY_AFTER_REFUSED) == 1
        assert site.instance.app.metrics.value("declining_endpoints") == 0


async def test_callers_get_the_time_of_the_first_endpoint_to_return() -> None:
    async with _site() as site:
        site.worker("plain-0").retry_after_header = "30"
        site.worker("plain-1").retry_after_header = "60"
        for _ in range(3):
            response = await site.caller.request("/book/x")
            assert response.status == 503
            assert 29.0 < float(response.headers["retry-after"]) < 36.0
        assert len(site.worker("plain-0").arrivals) == 1
        assert len(site.worker("plain-1").arrivals) == 1


async def test_an_endpoint_that_leaves_answers_one_last_request() -> None:
    async with _site() as site:
        for number in range(2):
            site.worker(f"plain-{number}").leaving_header = "1"
        for _ in range(2):
            response = await site.caller.request("/look/x")
            assert response.status == 200
            assert response.headers["server-leaving"] == "1"
        with logbook.TestHandler().applicationbound() as handler:
            assert (await site.caller.request("/look/x")).status == 503
        assert not handler.has_warning(ENDPOINT_LEAVES.text)
        assert site.instance.app.metrics.value("leaving_endpoints") == 2
        for number in range(2):
            assert len(site.worker(f"plain-{number}").arrivals) == 1


async def test_a_stream_is_forwarded_though_its_engine_leaves() -> None:
    async with _site() as site:
        site.worker("engine-0").leaving_header = "1"
        assert (await site.caller.request("/ask/x", STREAM_TOKENS)).status == 200
        assert (await site.caller.request("/ask/x", STREAM_TOKENS)).status == 503


async def test_another_value_leaves_an_endpoint_in_use() -> None:
    async with _site(plain_services=1) as site:
        site.worker("plain-0").leaving_header = "0"
        for _ in range(3):
            assert (await site.caller.request("/look/x")).status == 200


@pytest.mark.parametrize("states", ["retry_after_header", "leaving_header"])
async def test_nothing_is_sent_to_an_endpoint_that_declines_while_it_is_connected_to(
    monkeypatch: pytest.MonkeyPatch, states: str
) -> None:
    """The request goes elsewhere and uses neither an attempt nor the retry budget."""
    async with _site() as site:
        client = site.instance.app.get("endpoint_connector")
        connect = client._open
        declined: list[str] = []

        async def decline_and_connect(endpoint: Endpoint) -> HttpConnection:
            connection = await connect(endpoint)
            if not declined:
                declined.append(endpoint.id)
                worker = site.worker(endpoint.id)
                setattr(worker, states, "1" if states == "leaving_header" else "30")
                orders = site.instance.app.get("memory_client")
                await orders.release(endpoint, "none")
            return connection

        monkeypatch.setattr(client, "_open", decline_and_connect)
        monkeypatch.setattr(RetryBudget, "try_acquire_retry", lambda *_: False)
        response = await site.caller.request("/book/x")
        assert response.status == 200
        assert not site.worker(declined[0]).arrivals


async def test_an_order_tells_as_well_that_an_engine_declines() -> None:
    async with _site() as site:
        site.worker("engine-0").leaving_header = "1"
        orders = site.instance.app.get("memory_client")
        engine = site.endpoint("engine-0")
        assert isinstance(await orders.release(engine, "none"), Success)
        assert (await site.caller.request("/ask/x", STREAM_TOKENS)).status == 503
        assert not site.worker("engine-0").arrivals
