"""A request that has begun, while no instance grants permits for a moment.

A permit that no other instance had granted in time counted as one that none would
grant. The request ended at once, although its next try was due soon.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.exchange import ResponseHead
from cicadacourse.limits import Permit
from cicadacourse.limits._permits import RETRY_S
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import OK
from tests.test_gateway.test_gateway_refused_retries import BEGUN_S, TIMEOUT_S, _reset
from tests.test_gateway.test_gateway_silence import (
    EVENTS,
    check_all_left,
    check_whole,
    make_pools,
    run,
    took_s,
    wait_for_server,
)

LIMIT = 5.0
FOR_GOOD_S = 60.0


def _limit_all(cluster: GatewayCluster) -> None:
    """Lets the instance know a limit of all endpoints."""
    limits = cluster.memory.get("n0", "limits")
    for item in cluster.endpoint_by_id.values():
        item.limit = LIMIT
        head = ResponseHead(OK, (), request_limit=LIMIT)
        limits.observe(item.endpoint, head, now())


def _deny_permits(cluster: GatewayCluster, seconds: float) -> None:
    """Lets no instance reply to those that ask for permits, for some seconds."""
    permits = cluster.memory.get("n0", "permits")
    acquire = permits.acquire
    until = now() + seconds

    async def acquire_or_fail(key: str, rate: float, max_wait_s: float) -> Permit:
        if now() < until:
            return Permit(is_granted=False, wait_s=RETRY_S)
        return await acquire(key, rate, max_wait_s)

    permits.acquire = acquire_or_fail


async def _denied_for_a_time(path: str, seconds: float) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        cluster.memory.get("n0", "gateway").budget.slack = 100.0
        task = asyncio.create_task(cluster.send("n0", path, timeout_s=TIMEOUT_S))
        first = await wait_for_server(cluster)
        await asyncio.sleep(BEGUN_S)
        _limit_all(cluster)
        _deny_permits(cluster, seconds)
        await _reset(first)
        check_whole(await task, EVENTS if path == "ask" else 1)
        check_all_left(cluster)


@pytest.mark.parametrize("seconds", [0.3, 0.8, 1.2])
@pytest.mark.parametrize("path", ["ask", "look"])
def test_a_request_that_has_begun_outlasts_denied_permits(
    path: str, seconds: float
) -> None:
    run(_denied_for_a_time, path, seconds)


async def _denied_for_good(path: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        cluster.memory.get("n0", "gateway").budget.slack = 100.0
        task = asyncio.create_task(cluster.send("n0", path, timeout_s=TIMEOUT_S))
        first = await wait_for_server(cluster)
        await asyncio.sleep(BEGUN_S)
        _limit_all(cluster)
        _deny_permits(cluster, FOR_GOOD_S)
        await _reset(first)
        reply = await task
        assert (reply.status, reply.is_complete) in [(502, True), (200, False)]
        assert took_s(reply) < 0.6 * TIMEOUT_S
        check_all_left(cluster)


@pytest.mark.parametrize("path", ["ask", "look"])
def test_a_request_that_has_begun_ends_if_permits_stay_denied(path: str) -> None:
    run(_denied_for_good, path)


async def _not_begun(path: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        _limit_all(cluster)
        _deny_permits(cluster, FOR_GOOD_S)
        reply = await cluster.send("n0", path, timeout_s=TIMEOUT_S)
        assert reply.status in (429, 503)
        assert took_s(reply) < RETRY_S


@pytest.mark.parametrize("path", ["ask", "look", "book"])
def test_a_request_that_did_not_run_is_refused_at_once_without_permits(
    path: str,
) -> None:
    run(_not_begun, path)
