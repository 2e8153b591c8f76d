"""A request that has begun, while endpoints refuse all connections at once.

All retries that a request has were refused within some milliseconds, and it ended long
before its deadline, although its endpoints accepted connections soon afterwards.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator

import pytest

from cicadacourse.exchange import EndpointConnection, SendFailure
from cicadacourse.gateway._attempts import FIRST_PAUSE_S
from cicadacourse.util.clock import now
from tests.endpoint_links import ENDPOINT_LINK_S
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint
from tests.test_gateway.test_gateway_histories import FakeReply
from tests.test_gateway.test_gateway_silence import (
    EVENTS,
    check_all_left,
    check_whole,
    make_pools,
    run,
    took_s,
    wait_for_server,
)

BEGUN_S = 0.02
RESET_S = 0.05
TIMEOUT_S = 4.0
FOR_GOOD_S = 60.0


def _refuse_connections(cluster: GatewayCluster, seconds: float) -> None:
    """Lets all connections of the instance fail at once for some seconds."""
    connector = cluster.memory.get("n0", "endpoint_connector")
    connect = connector.connect
    until = now() + seconds

    @contextlib.asynccontextmanager
    async def connect_or_fail(
        *arguments: Any, **options: Any
    ) -> AsyncIterator[EndpointConnection]:
        if now() < until:
            await asyncio.sleep(ENDPOINT_LINK_S)
            raise SendFailure("connection refused", False, "unreachable")
        async with connect(*arguments, **options) as connection:
            yield connection

    connector.connect = connect_or_fail


async def _reset(endpoint: SimulatedEndpoint) -> None:
    """Breaks the exchanges with an endpoint off, which goes on afterwards."""
    endpoint.is_down = True
    endpoint.ended.set()
    await asyncio.sleep(RESET_S)
    endpoint.is_down = False
    endpoint.ended.clear()


async def _refused_for_a_time(path: str, endpoints: int, seconds: float) -> None:
    async with gateway_cluster(1, make_pools(endpoints)) as cluster:
        cluster.memory.get("n0", "gateway").budget.slack = 100.0
        task = asyncio.create_task(cluster.send("n0", path, timeout_s=TIMEOUT_S))
        first = await wait_for_server(cluster)
        await asyncio.sleep(BEGUN_S)
        _refuse_connections(cluster, seconds)
        await _reset(first)
        reply = await task
        check_whole(reply, EVENTS if path == "ask" else 1)
        check_all_left(cluster)


@pytest.mark.parametrize("seconds", [0.1, 0.5, 1.2])
@pytest.mark.parametrize("endpoints", [3, 8])
@pytest.mark.parametrize("path", ["ask", "look"])
def test_a_request_that_has_begun_outlasts_refused_connections(
    path: str, endpoints: int, seconds: float
) -> None:
    run(_refused_for_a_time, path, endpoints, seconds)


async def _refused_for_good(path: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        cluster.memory.get("n0", "gateway").budget.slack = 100.0
        task = asyncio.create_task(cluster.send("n0", path, timeout_s=TIMEOUT_S))
        first = await wait_for_server(cluster)
        await asyncio.sleep(BEGUN_S)
        _refuse_connections(cluster, FOR_GOOD_S)
        await _reset(first)
        reply = await task
        assert (reply.status, reply.is_complete) in [(502, True), (200, False)]
        assert took_s(reply) < TIMEOUT_S
        check_all_left(cluster)


@pytest.mark.parametrize("path", ["ask", "look"])
def test_a_request_that_has_begun_ends_before_its_deadline_if_all_refuse(
    path: str,
) -> None:
    run(_refused_for_good, path)


async def _not_begun(path: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        cluster.memory.get("n0", "gateway").budget.slack = 100.0
        _refuse_connections(cluster, FOR_GOOD_S)
        reply = await cluster.send("n0", path, timeout_s=TIMEOUT_S)
        assert reply.status == 503
        assert took_s(reply) < FIRST_PAUSE_S


@pytest.mark.parametrize("path", ["ask", "look", "book"])
def test_a_request_that_did_not_run_is_refused_without_a_pause(path: str) -> None:
    """Its caller may try elsewhere."""
    run(_not_begun, path)


async def _caller_leaves() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        cluster.memory.get("n0", "gateway").budget.slack = 100.0
        reply = FakeReply()
        task = asyncio.create_task(cluster.send("n0", timeout_s=TIMEOUT_S, reply=reply))
        first = await wait_for_server(cluster)
        await asyncio.sleep(BEGUN_S)
        _refuse_connections(cluster, 0.3)
        await _reset(first)
        await asyncio.sleep(0.1)
        arrivals = sum(len(item.arrivals) for item in cluster.endpoint_by_id.values())
        reply.caller_disconnected.set()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(2.0)
        assert arrivals == sum(
            len(item.arrivals) for item in cluster.endpoint_by_id.values()
        )
        check_all_left(cluster)


def test_no_attempt_follows_a_pause_whose_caller_has_left() -> None:
    run(_caller_leaves)
