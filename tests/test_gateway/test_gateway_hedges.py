"""Hedges that are refused, moved or broken, and pauses that look like silences.

They must cost the request neither its first exchange nor a later resume, and the other
requests no more of the retry budget than they use.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import attrs
import pytest
from returns.result import Failure

from cicadacourse.catalog import Catalog, PoolShare
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.events import ENDPOINT_CHANGED
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import FOR_GOOD, SimulatedEndpoint, make_endpoints
from tests.test_gateway.test_gateway_histories import CATALOG
from tests.test_gateway.test_gateway_silence import (
    EVENTS,
    check_whole,
    make_pools,
    run,
    took_s,
    wait_for_server,
)

SILENCE_S = 1.2
PAUSE_S = 1.5
# Nearly the time limit of the requests.
NEARLY_ALL_S = 3.3
MAX_REFUSED_HEDGES = 2


def others_of(
    cluster: GatewayCluster, first: SimulatedEndpoint
) -> list[SimulatedEndpoint]:
    return [item for item in cluster.endpoint_by_id.values() if item is not first]


async def _refused(crashes: bool) -> None:
    async with gateway_cluster(1, make_pools(7)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.events = 40
        task = asyncio.create_task(cluster.send("n0", timeout_s=8.0))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        for other in others_of(cluster, first):
            other.is_replaced = True
        first.fall_silent(SILENCE_S)
        await asyncio.sleep(SILENCE_S + 0.05)
        for other in others_of(cluster, first):
            other.is_replaced = False
        await asyncio.sleep(0.3)
        arrivals = sum(len(item.arrivals) for item in others_of(cluster, first))
        assert 1 <= arrivals <= MAX_REFUSED_HEDGES
        if crashes:
            cluster.crash(first)
        check_whole(await task, 40)


@pytest.mark.parametrize("crashes", [True, False])
def test_refused_hedges_are_few_and_leave_a_later_resume(crashes: bool) -> None:
    """Each refusal started the next hedge at once, until no attempt was left."""
    run(_refused, crashes)


def _move_streams() -> Catalog:
    """Returns a configuration whose streams go to another pool."""
    routes = tuple(
        attrs.evolve(item, shares=(PoolShare("newer"),)) if item.name == "ask" else item
        for item in CATALOG.routes
    )
    newer = attrs.evolve(CATALOG.pools[0], name="newer")
    return attrs.evolve(
        CATALOG, version=2, routes=routes, pools=(*CATALOG.pools, newer)
    )


async def _moved() -> None:
    endpoint_by_id = make_endpoints(1) | make_endpoints(3, "newer")
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        (app,) = cluster.memory.applications
        first = cluster.endpoint_by_id["engines-0"]
        first.work_s = 0.3
        task = asyncio.create_task(cluster.send("n0", timeout_s=6.0))
        await wait_for_server(cluster)
        app.get("catalog").apply_if_newer(_move_streams(), "test")
        first.is_down = True
        app.get("catalog").registry.remove("engines-0")
        app.events.emit(ENDPOINT_CHANGED, first.endpoint)
        second = await wait_for_server(cluster, first)
        assert second.endpoint.pool == "newer"
        await asyncio.sleep(0.1)
        second.fall_silent(FOR_GOOD)
        reply = await task
        check_whole(reply)
        assert took_s(reply) < 3.0


def test_a_moved_request_is_hedged_in_its_new_pool() -> None:
    """Other endpoints were looked for in the pool that it had left."""
    run(_moved)


async def _broken() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)

        def fail(*_: Any) -> None:
            raise ValueError("an unexpected error")

        for other in others_of(cluster, first):
            other.on_start = fail
        first.fall_silent(SILENCE_S)
        assert set(check_whole(await task)) == {first.endpoint.id}


def test_an_unexpected_error_in_a_hedge_ends_no_sound_exchange() -> None:
    run(_broken)


async def _denied_hedges_return_their_retries() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        gateway = cluster.memory.get("n0", "gateway")
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        error = Error(ErrorKind.OVERLOADED, "", retry_after_s=1.0)
        placer = cluster.memory.get("n0", "placement")
        placer._pools.resolve = lambda request: Failure(error)
        first.fall_silent(SILENCE_S)
        check_whole(await task)
        assert not any(gateway.budget._retries_by_pool.values())


def test_a_hedge_that_is_not_sent_costs_no_retry() -> None:
    """It kept the retry, which the other requests lacked, and used it later."""
    run(_denied_hedges_return_their_retries)


async def _without_alternative(path: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        service = cluster.memory.get("n0", "catalog")
        routes = tuple(attrs.evolve(item, max_attempts=1) for item in CATALOG.routes)
        service.apply_if_newer(attrs.evolve(CATALOG, version=2, routes=routes), "test")
        task = asyncio.create_task(cluster.send("n0", path))
        first = await wait_for_server(cluster)
        first.fall_silent(NEARLY_ALL_S)
        check_whole(await task, EVENTS if path == "ask" else 1)
        assert _count_arrivals(cluster) == 1


@pytest.mark.parametrize("path", ["ask", "look"])
def test_without_an_alternative_only_the_deadline_counts(path: str) -> None:
    run(_without_alternative, path)


async def _answered_otherwise() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        for other in others_of(cluster, first):
            other.status = 404
        first.fall_silent(SILENCE_S)
        assert set(check_whole(await task)) == {first.endpoint.id}


def test_no_other_response_follows_a_stream_that_has_begun() -> None:
    run(_answered_otherwise)


def _count_arrivals(cluster: GatewayCluster) -> int:
    return sum(len(item.arrivals) for item in cluster.endpoint_by_id.values())


async def _paused() -> None:
    async with gateway_cluster(1, make_endpoints(6)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.events, endpoint.event_s = 30, 0.05
        requests = [cluster.send("n0", timeout_s=8.0) for _ in range(10)]
        tasks = [asyncio.create_task(request) for request in requests]
        await asyncio.sleep(0.4)
        arrivals = _count_arrivals(cluster)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.fall_silent(PAUSE_S + 0.03)
        await asyncio.sleep(0)
        time.sleep(PAUSE_S)
        for reply in await asyncio.gather(*tasks):
            check_whole(reply, 30)
        assert _count_arrivals(cluster) == arrivals


def test_a_pause_of_the_process_starts_no_hedges() -> None:
    """Its clock counts the pause, which looked like a silence of all endpoints."""
    asyncio.run(_paused())
