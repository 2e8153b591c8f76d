"""Tests of the bound on connections to one endpoint."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator

import attrs
import pytest
from returns.result import Failure, Success

from cicadacourse.catalog import EndpointState
from cicadacourse.placement import PlacementRequest, Placer
from cicadacourse.platform import _endpoint_exchange
from cicadacourse.util.clock import now
from standins.platform import ENGINE_POOL, PLAIN_POOL, Fleet, make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

LONG_S = 60.0
# Enough turns of the event loop for a queued request to be placed.
TURNS = 10


async def _configure(fleet: Fleet, instance: Instance, limit: int) -> None:
    """Bounds the connections to each endpoint and waits until that is in force."""
    configuration = make_configuration(2)
    for row in configuration["services"]:
        row["maxConns"] = limit
    fleet.configure(configuration)
    catalog_service = instance.app.get("catalog")
    await wait_until(lambda: catalog_service.catalog.version == 2)


@pytest.mark.parametrize(("limit", "expected"), [(1, 1), (2, 2), (0, 6)])
async def test_requests_wait_for_one_of_the_connections(
    limit: int, expected: int
) -> None:
    """Each request had a connection of its own, and the endpoint reset some."""
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, limit)
            fleet.endpoint_by_id["plain-0"].worker.work_s = 0.1
            caller = Caller(instance)
            responses = await asyncio.gather(
                *(caller.request("/book/x") for _ in range(6))
            )
            assert [response.status for response in responses] == [200] * 6
            opened = instance.app.metrics.value("channels_opened_total", pool="plain")
            assert opened == expected


async def test_streams_wait_for_one_of_the_connections() -> None:
    async with running_fleet(engines=1, plain_services=0) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, 2)
            caller = Caller(instance)
            responses = await asyncio.gather(
                *(caller.request("/ask/x", "5000,460") for _ in range(5))
            )
            assert all(response.is_complete for response in responses)
            metrics = instance.app.metrics
            assert metrics.value("channels_opened_total", pool=ENGINE_POOL) == 2


async def test_an_endpoint_is_told_the_time_that_is_left_after_the_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sent: list[Any] = []
    original = _endpoint_exchange._request_headers
    monkeypatch.setattr(
        _endpoint_exchange,
        "_request_headers",
        lambda request: sent.append(request) or original(request),
    )
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, 1)
            fleet.endpoint_by_id["plain-0"].worker.work_s = 0.3
            caller = Caller(instance)
            await asyncio.gather(*(caller.request("/book/x") for _ in range(2)))
    first, second = sent
    assert first.time_left_s > 2.8
    assert second.time_left_s < 2.75


async def test_a_request_that_has_only_waited_is_refused_as_not_run() -> None:
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, 1)
            worker = fleet.endpoint_by_id["plain-0"].worker
            worker.work_s = 1.5
            caller = Caller(instance)
            first = asyncio.create_task(caller.request("/book/x"))
            await wait_until(lambda: worker.in_progress)
            refused = await caller.request("/book/x", timeout_ms=300)
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            metrics = instance.app.metrics
            assert metrics.value("refusals_total", reason="connections_in_use") == 1
            assert fleet.count_runs(caller.sent_ids[-1]) == 0
            health = instance.app.get("placement").health
            assert not health.is_ejected("plain-0", now())
            assert (await first).status == 200


async def test_a_request_that_waits_is_not_sent_to_an_endpoint_that_leaves() -> None:
    """Requests had chosen their endpoint before they waited for a connection."""
    async with running_fleet(engines=0, plain_services=2) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, 1)
            for endpoint in fleet.endpoint_by_id.values():
                endpoint.worker.work_s = 0.5
            caller = Caller(instance)
            tasks = [
                asyncio.create_task(caller.request("/book/x", timeout_ms=4000))
                for _ in range(4)
            ]
            leaving = fleet.endpoint_by_id["plain-0"]
            await wait_until(lambda: leaving.worker.in_progress)
            leaving.state = "draining"
            fleet.register(leaving)
            registry = instance.app.get("catalog").registry
            await wait_until(
                lambda: registry.find("plain-0").state is EndpointState.LEAVING
            )
            responses = await asyncio.gather(*tasks)
            assert [response.status for response in responses] == [200] * 4
            assert leaving.worker.runs_by_request.total() == 1


async def test_a_request_uses_the_connection_that_is_released_first() -> None:
    """A request waited at its endpoint while another one had a connection."""
    async with running_fleet(engines=0, plain_services=2) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, 1)
            slow = fleet.endpoint_by_id["plain-0"].worker
            slow.work_s = 1.5
            caller = Caller(instance)
            responses = await asyncio.gather(
                *(caller.request("/book/x") for _ in range(6))
            )
            assert [response.status for response in responses] == [200] * 6
            assert slow.runs_by_request.total() == 1


@contextlib.asynccontextmanager
async def _running_placer(limit: int) -> AsyncIterator[tuple[Instance, Placer]]:
    """Runs an instance with one endpoint that may have so many connections."""
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await _configure(fleet, instance, limit)
            yield instance, instance.app.get("placement")


class _Placed:
    """A request that holds its placement until it is released or cancelled."""

    def __init__(self, placer: Placer, wait_s: float = LONG_S) -> None:
        self._placer = placer
        self._request = PlacementRequest("r", PLAIN_POOL, 1, LONG_S, wait_s, LONG_S)
        self._released = asyncio.Event()
        self.result: Any = None
        self.task = asyncio.create_task(self._hold())

    async def _hold(self) -> None:
        async with self._placer.place(self._request) as self.result:
            await self._released.wait()

    @property
    def is_placed(self) -> bool:
        return isinstance(self.result, Success)

    def release(self) -> None:
        self._released.set()


async def _run_turns() -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def _place_all(placer: Placer, count: int) -> list[_Placed]:
    requests = []
    for _ in range(count):
        requests.append(_Placed(placer))
        await _run_turns()
    return requests


async def test_connections_are_granted_in_the_order_of_arrival() -> None:
    async with _running_placer(1) as (_, placer):
        requests = await _place_all(placer, 3)
        for number, request in enumerate(requests):
            placed = [item.is_placed for item in requests]
            assert placed == [item <= number for item in range(3)]
            request.release()
            await _run_turns()


async def test_a_connection_granted_to_a_cancelled_wait_goes_to_the_next() -> None:
    async with _running_placer(1) as (_, placer):
        first, cancelled, other = await _place_all(placer, 3)
        first.release()
        # The wait is cancelled in the very turn in which it was granted a connection.
        queue = placer._queue
        while len(list(queue)) == 2:
            await asyncio.sleep(0)
        assert not cancelled.is_placed
        cancelled.task.cancel()
        await _run_turns()
        assert cancelled.task.cancelled()
        assert other.is_placed
        other.release()


async def test_a_cancelled_wait_leaves_the_queue() -> None:
    async with _running_placer(1) as (_, placer):
        first, cancelled, other = await _place_all(placer, 3)
        cancelled.task.cancel()
        await _run_turns()
        assert not other.is_placed
        first.release()
        await _run_turns()
        assert other.is_placed
        other.release()


async def test_a_connection_released_while_a_wait_is_cancelled_is_not_lost() -> None:
    async with _running_placer(1) as (_, placer):
        first, cancelled, other = await _place_all(placer, 3)
        cancelled.task.cancel()
        first.release()
        await _run_turns()
        assert cancelled.task.cancelled()
        assert other.is_placed
        other.release()


async def test_a_wait_for_a_connection_ends_at_its_timeout() -> None:
    async with _running_placer(1) as (_, placer):
        (first,) = await _place_all(placer, 1)
        late = _Placed(placer, wait_s=0.05)
        late.release()
        await late.task
        assert isinstance(late.result, Failure)
        assert late.result.failure().label == "connections_in_use"
        first.release()
        await _run_turns()
        (other,) = await _place_all(placer, 1)
        assert other.is_placed
        other.release()


@pytest.mark.parametrize("limit", [3, 0])
async def test_a_raised_limit_applies_to_those_that_wait(limit: int) -> None:
    async with _running_placer(1) as (instance, placer):
        requests = await _place_all(placer, 3)
        catalog_service = instance.app.get("catalog")
        catalog = catalog_service.catalog
        pools = tuple(
            attrs.evolve(pool, max_connections=limit) for pool in catalog.pools
        )
        raised = attrs.evolve(catalog, version=3, pools=pools)
        catalog_service.apply_if_newer(raised, "peer")
        await _run_turns()
        assert all(request.is_placed for request in requests)
        for request in requests:
            request.release()


async def test_requests_that_are_placed_in_the_same_turn_keep_the_limit() -> None:
    """An urgent request arrives in the turn in which another one is granted."""
    async with _running_placer(1) as (_, placer):
        first, waiting = await _place_all(placer, 2)
        first.release()
        while list(placer._queue):
            await asyncio.sleep(0)
        urgent = PlacementRequest("u", PLAIN_POOL, 0, LONG_S, LONG_S, LONG_S)
        async with placer.place(urgent) as result:
            assert isinstance(result, Success)
            await _run_turns()
            assert not waiting.is_placed
        await wait_until(lambda: waiting.is_placed)
        waiting.release()
