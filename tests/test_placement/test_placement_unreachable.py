"""Requests are refused at once while no instance reaches an endpoint of their pool.

Each request waited for connections that timed out, one endpoint after another.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Iterable

import pytest

from cicadacourse.errors import Error
from cicadacourse.reachability import _service
from cicadacourse.reachability._service import MIN_UNREACHABLE_S
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_gateway.test_gateway_histories import FakeReply
from tests.test_limits.test_limits_cluster import run

# A refusal that needs no wait is sent within this time.
AT_ONCE_S = 0.05
# A connection that is tried in the background may take this long to fail, and a queued
# request is refused after the next failure.
MAX_QUEUED_S = 0.1 + MIN_UNREACHABLE_S + 0.7
# What is left of a silence of 1.2 s once all connections have failed.
SILENCE_S = 0.8
# How soon after the links are back requests are served again.
BACK_S = 1.0


def find_unreachable(
    cluster: GatewayCluster, instance: str, endpoints: Iterable[SimulatedEndpoint]
) -> None:
    """Lets an instance know that neither it nor those it asked reach endpoints."""
    links = cluster.memory.get(instance, "reachability")
    peers = [name for name in cluster.memory.application_by_name if name != instance]
    for simulated in endpoints:
        links.record_not_connected(simulated.endpoint)
        for peer in peers[:2]:
            links.record_not_reached_by_peer(simulated.endpoint, peer)


def refusal(reply: FakeReply) -> Error:
    """Returns the error with which a request was refused."""
    assert reply.error is not None, reply.status
    return reply.error


async def _refused_at_once(instances: int, fault: LinkFault) -> None:
    async with gateway_cluster(instances, make_endpoints(6)) as cluster:
        names = sorted(cluster.memory.application_by_name)
        end = cluster.cut(names, fault)
        for name in names:
            find_unreachable(cluster, name, cluster.endpoint_by_id.values())
        await asyncio.sleep(MIN_UNREACHABLE_S)
        for _ in range(20):
            for name in names:
                reply = await cluster.send(name)
                assert reply.ended_at - reply.arrived <= AT_ONCE_S
                error = refusal(reply)
                assert (error.response.status, error.retry_after_s) == (503, 1.0)
                assert error.label == "endpoints_unreachable"
            await asyncio.sleep(0.2)
        end()
        await asyncio.sleep(BACK_S)
        replies = await asyncio.gather(*map(cluster.send, names))
        assert [reply.status for reply in replies] == [200] * instances


@pytest.mark.parametrize("fault", list(LinkFault)[:2])
@pytest.mark.parametrize("instances", [1, 2, 6])
def test_requests_are_refused_at_once_while_no_instance_reaches_their_pool(
    instances: int, fault: LinkFault
) -> None:
    run(_refused_at_once, instances, fault)


async def _queued() -> None:
    async with gateway_cluster(1, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        endpoint.work_s = 3.0
        running = [asyncio.create_task(cluster.send("n0")) for _ in range(8)]
        await asyncio.sleep(0.1)
        queued = [asyncio.create_task(cluster.send("n0")) for _ in range(4)]
        await asyncio.sleep(0.1)
        cluster.cut(["n0"])
        find_unreachable(cluster, "n0", [endpoint])
        replies = await asyncio.gather(*queued)
        for reply in replies:
            assert reply.ended_at - reply.arrived <= MAX_QUEUED_S
            assert refusal(reply).label == "endpoints_unreachable"
        for task in running:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*running)


def test_queued_requests_are_refused_once_no_instance_reaches_their_pool() -> None:
    run(_queued)


async def _something_works() -> None:
    async with gateway_cluster(3, make_endpoints(6)) as cluster:
        endpoints = list(cluster.endpoint_by_id.values())
        find_unreachable(cluster, "n0", endpoints[:5])
        links = cluster.memory.get("n0", "reachability")
        assert not links.is_pool_unreachable("engines")
        links.record_not_connected(endpoints[5].endpoint)
        assert not links.is_pool_unreachable("engines")
        links.record_not_reached_by_peer(endpoints[5].endpoint, "n1")
        assert not links.is_pool_unreachable("engines")
        links.record_reached_by_peer(endpoints[5].endpoint, "n2")
        assert not links.is_pool_unreachable("engines")


def test_nothing_is_refused_while_an_endpoint_may_be_reached(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_service, "MIN_UNREACHABLE_S", 0.0)
    run(_something_works)


async def _short_silence() -> None:
    async with gateway_cluster(1, make_endpoints(6)) as cluster:
        end = cluster.cut(["n0"], LinkFault.HANG)
        find_unreachable(cluster, "n0", cluster.endpoint_by_id.values())
        task = asyncio.create_task(cluster.send("n0"))
        await asyncio.sleep(SILENCE_S)
        end()
        assert (await task).status == 200


def test_no_request_is_refused_in_a_silence_of_about_a_second() -> None:
    """Endpoints that accept no connections meanwhile were taken for unreachable."""
    run(_short_silence)


async def _begun() -> None:
    async with gateway_cluster(1, make_endpoints(2)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.events = 20
        task = asyncio.create_task(cluster.send("n0"))
        await asyncio.sleep(0.3)
        end = cluster.cut(["n0"], LinkFault.RESET)
        find_unreachable(cluster, "n0", cluster.endpoint_by_id.values())
        await asyncio.sleep(0.8)
        assert not task.done()
        end()
        reply = await task
        assert (reply.status, reply.is_complete) == (200, True)


def test_a_stream_that_has_begun_waits_until_an_endpoint_is_reached() -> None:
    """A refusal would break it off, though it could be resumed a second later."""
    run(_begun)
