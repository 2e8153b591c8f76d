"""Connections that can't be made take no retry from the budget, and are bounded.

The budget bounds what arrives at endpoints. In a cut nothing arrived, but each try took
a retry, so that soon no request was tried twice.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.gateway._attempts import MAX_REFUSALS
from cicadacourse.gateway._retries import RetryGrants
from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_gateway.test_gateway_silence import exhaust_budget, run

# Longer than a connection is kept open.
KEPT_S = 5.0


def retries_taken(cluster: GatewayCluster) -> int:
    """Returns the retries that the budgets of all instances have counted."""
    return sum(
        len(times)
        for gateway in cluster.memory.services("gateway")
        for times in gateway.budget._retries_by_pool.values()
    )


async def _no_budget(fault: LinkFault) -> None:
    async with gateway_cluster(1, make_endpoints(6)) as cluster:
        exhaust_budget(cluster)
        await cluster.send("n0")
        chosen = cluster.busiest_endpoint()
        others = [item for item in cluster.endpoint_by_id.values() if item != chosen]
        await asyncio.sleep(KEPT_S)
        cluster.cut(["n0"], fault, [chosen, *others[:3]])
        replies = [await cluster.send("n0") for _ in range(20)]
        assert [reply.status for reply in replies] == [200] * 20
        assert retries_taken(cluster) == 0


@pytest.mark.parametrize("fault", list(LinkFault))
def test_a_cut_spends_no_budget_and_another_endpoint_is_tried(fault: LinkFault) -> None:
    run(_no_budget, fault)


async def _arrived() -> None:
    async with gateway_cluster(1, make_endpoints(6)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.status = 500
        await cluster.send("n0")
        assert retries_taken(cluster) >= 1


def test_a_request_that_arrived_still_takes_a_retry() -> None:
    run(_arrived)


async def _bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    granted = 0
    acquire = RetryGrants.acquire

    def count(grants: RetryGrants, attempt: object) -> object:
        nonlocal granted
        granted += 1
        return acquire(grants, attempt)

    monkeypatch.setattr(RetryGrants, "acquire", count)
    async with gateway_cluster(1, make_endpoints(20)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.is_down = True
        started = now()
        reply = await cluster.send("n0")
        assert reply.status == 503
        assert granted <= MAX_REFUSALS + 1
        assert now() - started <= 1.0
        await asyncio.sleep(0)


def test_tries_of_connections_that_are_refused_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run(_bounded, monkeypatch)
