"""A hedge that still waits for an endpoint when the attempt before it has failed.

It was placed as one that may be refused at no loss. So a refusal that came after the
older attempt had failed ended the request, although a retry would have waited.
"""

from __future__ import annotations

import asyncio

import attrs

from cicadacourse.events import ENDPOINT_CHANGED
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import FOR_GOOD
from tests.test_gateway.test_gateway_histories import CATALOG
from tests.test_gateway.test_gateway_silence import (
    STREAM_DELAY_S,
    check_all_left,
    check_whole,
    make_pools,
    run,
    wait_for_server,
)

EMPTY_S = 0.5
BEGUN_S = 0.2
LATER_S = 0.1
MANY_EVENTS = 200


def _allow_one_connection(cluster: GatewayCluster) -> None:
    """Lets the pools allow one connection to each of their endpoints."""
    pools = tuple(attrs.evolve(item, max_connections=1) for item in CATALOG.pools)
    newest = attrs.evolve(CATALOG, version=CATALOG.version + 1, pools=pools)
    assert cluster.memory.get("n0", "catalog").apply_if_newer(newest, "test")


async def _empty_for_a_moment(cluster: GatewayCluster) -> None:
    """Removes all endpoints from the registry, and puts them back later."""
    service = cluster.memory.get("n0", "catalog")
    endpoints = [item.endpoint for item in cluster.endpoint_by_id.values()]
    for endpoint in endpoints:
        service.registry.remove(endpoint.id)
        service.app.events.emit(ENDPOINT_CHANGED, endpoint)
    await asyncio.sleep(EMPTY_S)
    for endpoint in endpoints:
        service.registry.put(endpoint)
        service.app.events.emit(ENDPOINT_CHANGED, endpoint)


async def _hedge_in_the_queue() -> None:
    async with gateway_cluster(1, make_pools(2)) as cluster:
        _allow_one_connection(cluster)
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        (second,) = [
            item
            for item in cluster.endpoint_by_id.values()
            if item.endpoint.pool == first.endpoint.pool and item is not first
        ]
        second.events = MANY_EVENTS
        busy = asyncio.create_task(cluster.send("n0", timeout_s=3.0))
        await asyncio.sleep(BEGUN_S)
        first.fall_silent(FOR_GOOD)
        await asyncio.sleep(STREAM_DELAY_S + LATER_S)
        assert len(cluster.memory.get("n0", "placement")._queue) == 1
        cluster.crash(first, down_s=EMPTY_S + 2 * LATER_S)
        first.fall_silent(0.0)
        await asyncio.sleep(LATER_S)
        second.events = 0
        await _empty_for_a_moment(cluster)
        reply = await task
        check_whole(reply)
        await busy
        check_all_left(cluster)


def test_a_stream_outlasts_an_empty_pool_while_its_hedge_is_queued() -> None:
    run(_hedge_in_the_queue)
