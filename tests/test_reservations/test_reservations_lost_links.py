"""KV cache is reserved by a peer where this instance has no link to the engine.

Long prompts with reservations were refused at instances that were cut off.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.reservations import KvCacheClient, ProxyingKvCacheClient
from cicadacourse.util.clock import now
from tests.endpoint_links import ENDPOINT_LINK_S, LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_gateway.test_gateway_silence import run
from tests.test_proxy.peer_faults import MessageFault, MessageFaults, lose_link

ORDER_TIMEOUT_S = 0.6
ORDER_BOUND_S = 1.0
REACHED_S = 1.5


class SimulatedKvCacheClient(Service, KvCacheClient):
    """Sends orders over the links of a cluster; engines keep them by their id."""

    name = "direct_memory_client"

    def __init__(self, app: Application, cluster: GatewayCluster, own: str) -> None:
        super().__init__(app)
        self.tokens_by_id: dict[str, int] = {}
        self.is_full = False
        self._cluster = cluster
        self._own_name = own

    async def reserve(
        self, endpoint: Endpoint, reservation_id: str, tokens: int, hold_s: float
    ) -> Result[None, Error]:
        """Reserves unless the engine is full or not reached."""
        if not await self._is_reached(endpoint, ORDER_TIMEOUT_S):
            return Failure(Error(ErrorKind.ENDPOINT_UNREACHABLE, "no link"))
        if self.is_full:
            return Failure(Error(ErrorKind.ENDPOINT_REFUSED, "full"))
        self.tokens_by_id[reservation_id] = tokens
        return Success(None)

    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> Result[None, Error]:
        """Releases unless the engine is not reached."""
        if not await self._is_reached(endpoint, ORDER_TIMEOUT_S):
            return Failure(Error(ErrorKind.ENDPOINT_UNREACHABLE, "no link"))
        self.tokens_by_id.pop(reservation_id, None)
        return Success(None)

    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether there is a link."""
        return await self._is_reached(endpoint, 0.4)

    async def _is_reached(self, endpoint: Endpoint, timeout_s: float) -> bool:
        link = self._cluster.links.get(self._own_name, endpoint)
        if link.is_hanging:
            await asyncio.sleep(timeout_s)
            return False
        await asyncio.sleep(2 * ENDPOINT_LINK_S)
        return not link.is_cut


def add_clients(cluster: GatewayCluster) -> dict[str, SimulatedKvCacheClient]:
    """Adds the clients of orders to all instances; returns the direct ones."""
    clients = {}
    for name, app in cluster.memory.application_by_name.items():
        clients[name] = SimulatedKvCacheClient(app, cluster, name)
        app.add_service(clients[name])
        app.add_service(ProxyingKvCacheClient(app))
    return clients


async def _reserve(fault: LinkFault, is_known: bool) -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        clients = add_clients(cluster)
        if is_known:
            lose_link(cluster, "n0")
        else:
            cluster.cut(["n0"], fault)
        client: Any = cluster.memory.get("n0", "memory_client")
        started = now()
        assert await client.reserve(endpoint.endpoint, "r", 100, 3.0) == Success(None)
        assert now() - started <= ORDER_BOUND_S
        assert [item.tokens_by_id for item in clients.values()].count({"r": 100}) == 1
        assert await client.is_reachable(endpoint.endpoint)
        for item in clients.values():
            item.is_full = True
        full = await client.reserve(endpoint.endpoint, "r2", 100, 3.0)
        assert full.failure().kind is ErrorKind.ENDPOINT_REFUSED
        cluster.cut(["n1", "n2"], LinkFault.RESET)
        lost = await client.reserve(endpoint.endpoint, "r3", 100, 3.0)
        assert lost.failure().kind is ErrorKind.ENDPOINT_UNREACHABLE
        # A peer's last connection counts for a while.
        await asyncio.sleep(REACHED_S)
        assert not await client.is_reachable(endpoint.endpoint)


@pytest.mark.parametrize("is_known", [False, True])
@pytest.mark.parametrize("fault", list(LinkFault))
def test_orders_reach_an_engine_through_a_peer(
    fault: LinkFault, is_known: bool
) -> None:
    run(_reserve, fault, is_known)


async def _release(fault: MessageFault) -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        clients = add_clients(cluster)
        lose_link(cluster, "n0")
        client: Any = cluster.memory.get("n0", "memory_client")
        peers = cluster.memory.get("n0", "peers")
        MessageFaults(peers, "reservations.SendOrder", 2, fault)
        assert await client.reserve(endpoint.endpoint, "r", 100, 3.0) == Success(None)
        for _ in range(3):
            if await client.release(endpoint.endpoint, "r") == Success(None):
                break
        await asyncio.sleep(1.0)
        assert clients["n1"].tokens_by_id == {}


@pytest.mark.parametrize("fault", list(MessageFault))
def test_a_release_through_a_peer_survives_a_lost_message(fault: MessageFault) -> None:
    run(_release, fault)


async def _gone() -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        clients = add_clients(cluster)
        lose_link(cluster, "n0")
        app = cluster.memory.application_by_name["n1"]
        app.get("catalog").registry.remove(endpoint.endpoint.id)
        client: Any = cluster.memory.get("n0", "memory_client")
        result = await client.reserve(endpoint.endpoint, "r", 100, 3.0)
        assert result.failure().kind is ErrorKind.ENDPOINT_REFUSED
        assert clients["n1"].tokens_by_id == {}


def test_a_peer_sends_no_order_to_an_engine_that_is_gone() -> None:
    run(_gone)
