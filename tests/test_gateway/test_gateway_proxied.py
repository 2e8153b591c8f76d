"""What callers are told if the peer is lost through which their request went."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_gateway.test_gateway_silence import run, sources
from tests.test_proxy.peer_faults import MessageFaults, lose_link

CALL_S = 0.5
MESSAGE_LOSS = 0.03
REQUESTS = 150
MIN_SERVED_SHARE = 0.95


async def _partition_peer(cluster: GatewayCluster, address: str) -> None:
    memory = cluster.memory
    memory.network.partition([memory.address("n0")], [address])


async def _peer_is_lost(step: str, path: str, status: int) -> None:
    async with gateway_cluster(2, make_endpoints(3, "plain")) as cluster:
        endpoints = list(cluster.endpoint_by_id.values())
        for endpoint in endpoints:
            endpoint.work_s = CALL_S
        lose_link(cluster, "n0")
        address = cluster.memory.address("n1")
        peers = cluster.memory.get("n0", "peers")

        async def on_sent(_: str) -> None:
            loop = asyncio.get_running_loop()
            # The message still arrives, its reply doesn't.
            loop.call_later(0.004, loop.create_task, _partition_peer(cluster, address))

        MessageFaults(peers, step, 1, on_sent=on_sent)
        reply = await cluster.send("n0", path)
        assert reply.status == status
        await asyncio.sleep(2.0)
        runs = sum(len(item.arrivals) for item in endpoints)
        assert runs == (1 if step == "proxy.SendProxied" else 0)
        health = cluster.memory.get("n0", "placement").health
        if step == "proxy.SendProxied":
            assert not any(
                health.is_ejected(item.endpoint.id, now()) for item in endpoints
            )


@pytest.mark.parametrize(
    "step, status", [("proxy.OpenProxied", 503), ("proxy.SendProxied", 502)]
)
def test_a_call_that_may_have_run_at_a_lost_peer_is_not_said_to_be_refused(
    step: str, status: int
) -> None:
    run(_peer_is_lost, step, "book", status)


async def _lossy() -> None:
    async with gateway_cluster(3, make_endpoints(6)) as cluster:
        cluster.cut(["n0"])
        lose_link(cluster, "n0")
        cluster.lose_messages(MESSAGE_LOSS)
        served = 0
        for _ in range(REQUESTS // 10):
            replies = await asyncio.gather(
                *(cluster.send("n0", "ask") for _ in range(10))
            )
            for reply in replies:
                is_served = reply.status == 200 and reply.is_complete
                assert not is_served or len(sources(reply)) == 4
                served += is_served
        assert served >= MIN_SERVED_SHARE * REQUESTS


def test_streams_through_peers_survive_lost_messages() -> None:
    run(_lossy)
