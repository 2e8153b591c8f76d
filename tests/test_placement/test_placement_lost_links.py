"""Where requests go while some links of their instance are lost.

An instance ejected endpoints that others reached, and sent requests to endpoints that
it could not connect to while others in the pool were free.
"""

from __future__ import annotations

import asyncio
from typing import Iterable

import pytest

from cicadacourse.placement import EndpointHealth
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_limits.test_limits_cluster import run

IDS = [f"e{number}" for number in range(10)]


def find_lost(
    cluster: GatewayCluster, instance: str, endpoints: Iterable[SimulatedEndpoint]
) -> None:
    """Lets an instance know that only others reach endpoints."""
    links = cluster.memory.get(instance, "reachability")
    peer = next(name for name in cluster.memory.application_by_name if name != instance)
    for simulated in endpoints:
        links.record_not_connected(simulated.endpoint)
        links.record_reached_by_peer(simulated.endpoint, peer)


@pytest.mark.parametrize(
    ("lost", "ejected", "usable"),
    [
        (4, 0, IDS[4:]),
        (5, 0, IDS),
        (10, 0, IDS),
        (3, 3, IDS[3:9]),
        (4, 2, IDS[4:]),
        (6, 2, IDS[:8]),
    ],
)
def test_lost_links_and_ejections_leave_most_of_a_pool_in_use(
    lost: int, ejected: int, usable: list[str]
) -> None:
    """Lost links and ejections together had left out more than the bound."""
    health = EndpointHealth()
    for number, id in enumerate(reversed(IDS[len(IDS) - ejected :])):
        health.record_transport_failure(id, now_s=10.0 - number / 10)
    assert health.usable_ids(IDS, 10.0, set(IDS[:lost])) == set(usable)


async def _some_lost() -> None:
    async with gateway_cluster(3, make_endpoints(10)) as cluster:
        endpoints = list(cluster.endpoint_by_id.values())
        cluster.cut(["n0"], endpoints=endpoints[:4])
        find_lost(cluster, "n0", endpoints[:4])
        replies = await asyncio.gather(*(cluster.send("n0") for _ in range(30)))
        assert all(reply.status == 200 for reply in replies)
        assert not any(item.arrivals for item in endpoints[:4])


def test_requests_go_to_endpoints_with_links_while_these_are_most_of_the_pool() -> None:
    run(_some_lost)


async def _not_ejected() -> None:
    async with gateway_cluster(3, make_endpoints(3)) as cluster:
        endpoint = next(iter(cluster.endpoint_by_id.values()))
        placer = cluster.memory.get("n0", "placement")
        id = endpoint.endpoint.id
        placer.report_transport_failure(id, "unreachable")
        assert placer.health.is_ejected(id, now())
        find_lost(cluster, "n0", [endpoint])
        assert not placer.health.is_ejected(id, now())
        placer.report_transport_failure(id, "unreachable")
        assert not placer.health.is_ejected(id, now())


def test_an_endpoint_that_others_reach_is_not_ejected_for_a_lost_link() -> None:
    run(_not_ejected)
