"""Tests of the bound on connections to one endpoint."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cicadacourse.platform import _endpoint_client
from cicadacourse.platform._connection_limits import UNBOUNDED, ConnectionLimits
from cicadacourse.util.clock import now
from standins.platform import ENGINE_POOL, Fleet, make_configuration
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
    original = _endpoint_client._request_headers
    monkeypatch.setattr(
        _endpoint_client,
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
            assert fleet.count_runs(caller.sent_ids[-1]) == 0
            health = instance.app.get("placement").health
            assert not health.is_ejected("plain-0", now())
            assert (await first).status == 200


async def _acquire_all(
    limits: ConnectionLimits, count: int
) -> list[asyncio.Task[None]]:
    tasks = [asyncio.create_task(limits.acquire("e", 1, LONG_S)) for _ in range(count)]
    await asyncio.sleep(0)
    return tasks


async def test_permits_are_granted_in_the_order_of_arrival() -> None:
    limits = ConnectionLimits()
    tasks = await _acquire_all(limits, 3)
    for number in range(3):
        await asyncio.sleep(0)
        assert [task.done() for task in tasks] == [item <= number for item in range(3)]
        limits.release("e")


async def test_a_permit_that_is_granted_to_a_cancelled_wait_goes_to_the_next() -> None:
    limits = ConnectionLimits()
    _, cancelled, other = await _acquire_all(limits, 3)
    limits.release("e")
    cancelled.cancel()
    await asyncio.wait_for(other, 1.0)
    assert cancelled.cancelled()


async def test_a_cancelled_wait_leaves_the_queue() -> None:
    limits = ConnectionLimits()
    _, cancelled, other = await _acquire_all(limits, 3)
    cancelled.cancel()
    await asyncio.sleep(0)
    limits.release("e")
    await asyncio.wait_for(other, 1.0)


async def test_a_permit_that_comes_free_while_a_wait_is_cancelled_is_not_lost() -> None:
    limits = ConnectionLimits()
    _, cancelled, other = await _acquire_all(limits, 3)
    cancelled.cancel()
    limits.release("e")
    await asyncio.wait_for(other, 1.0)
    assert cancelled.cancelled()


async def test_a_wait_ends_at_its_timeout() -> None:
    limits = ConnectionLimits()
    await limits.acquire("e", 1, LONG_S)
    with pytest.raises(TimeoutError):
        await limits.acquire("e", 1, 0.01)
    limits.release("e")
    await limits.acquire("e", 1, 0.01)


async def test_a_raised_limit_applies_to_those_that_wait() -> None:
    limits = ConnectionLimits()
    tasks = await _acquire_all(limits, 3)
    await limits.acquire("e", UNBOUNDED, 0.01)
    await asyncio.wait_for(asyncio.gather(*tasks), 1.0)
