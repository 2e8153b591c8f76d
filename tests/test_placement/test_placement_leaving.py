"""An endpoint whose responses say that it is shutting down gets no further request.

It may serve on for many seconds, and the registry may still list it as ready: the store
may be down. All instances that can hear of it stop sending there, also after a restart.
"""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable

import attrs
import pytest

from cicadacourse.catalog import EndpointState
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_placement.test_placement_retry_after import (
    AT_ONCE_S,
    replace_process,
    run,
    share_served,
    took_s,
)

# The platform's ``drainMs``: no request that was sent later may arrive.
DRAIN_S = 2.0
# Until then, the other instances that are connected have heard of it.
TOLD_S = 1.0


def make_started_endpoints(
    count: int, pool: str = "engines"
) -> dict[str, SimulatedEndpoint]:
    """Returns simulated endpoints by id whose processes report when they started."""
    endpoint_by_id = make_endpoints(count, pool)
    for endpoint in endpoint_by_id.values():
        endpoint.endpoint = attrs.evolve(endpoint.endpoint, started_ms=1000)
    return endpoint_by_id


def late_arrivals(endpoint: SimulatedEndpoint, delay_s: float = DRAIN_S) -> int:
    """Returns how many requests came from instances that knew that it leaves.

    :param delay_s: the seconds after an instance's first response that says so from
        which on its requests count.
    """
    told_at_by_instance: dict[str, float] = {}
    for answer in endpoint.answers:
        if answer.head.is_leaving:
            told_at_by_instance.setdefault(answer.instance, answer.at)
    return sum(
        arrival.instance in told_at_by_instance
        and arrival.request.caller.arrived
        > told_at_by_instance[arrival.instance] + delay_s
        for arrival in endpoint.arrivals
    )


async def _one_leaves(instances: int, path: str) -> None:
    pool = "engines" if path == "ask" else "plain"
    endpoint_by_id = make_started_endpoints(3, pool)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        rate, seconds = (40.0, 4.0) if instances < 80 else (20.0, 0.5)
        await cluster.load(rate, 0.3, path=path)
        leaving = cluster.busiest_endpoint()
        leaving.is_leaving = True
        await cluster.load(rate, TOLD_S, seed=2, path=path)
        since = now()
        replies = await cluster.load(rate, seconds, seed=3, path=path)
        assert late_arrivals(leaving) == 0
        assert not leaving.arrivals_since(since)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize(
    ("instances", "path"),
    [(1, "ask"), (1, "look"), (6, "ask"), (6, "book"), (80, "look")],
)
def test_all_instances_stop_sending_to_an_endpoint_that_leaves(
    instances: int, path: str
) -> None:
    """What its responses say was ignored until the registry listed it as leaving."""
    run(_one_leaves, instances, path)


async def _most_leave() -> None:
    endpoint_by_id = make_started_endpoints(4)
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        leaving = list(endpoint_by_id.values())[:3]
        for endpoint in leaving:
            endpoint.is_leaving = True
            endpoint.event_s = 0.3
        await cluster.load(20.0, 4.0)
        since = now()
        replies = await cluster.load(20.0, 3.0, seed=2)
        assert not any(item.arrivals_since(since) for item in leaving)
        assert share_served(replies) >= 0.98


def test_the_bound_on_ejected_endpoints_does_not_apply() -> None:
    run(_most_leave)


async def _all_leave() -> None:
    endpoint_by_id = make_started_endpoints(2, "plain")
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        for endpoint in endpoint_by_id.values():
            endpoint.is_leaving = True
        await cluster.load(20.0, 1.0, path="look")
        since = now()
        replies = await cluster.load(20.0, 4.0, seed=2, path="look")
        assert not any(item.arrivals_since(since) for item in endpoint_by_id.values())
        assert {reply.status for reply in replies} == {503}
        assert all(took_s(reply) < AT_ONCE_S for reply in replies)
        assert {reply.error.label for reply in replies} == {"no_endpoint"}


def test_requests_are_refused_at_once_if_all_endpoints_leave() -> None:
    run(_all_leave)


Disturbance = Callable[[GatewayCluster], Awaitable[None]]


async def restart_some(cluster: GatewayCluster) -> None:
    """Two of the instances lose what they knew."""
    for name in ("n0", "n1"):
        await cluster.memory.kill(name)
        await cluster.memory.start(name)
    await asyncio.sleep(TOLD_S)


async def start_another(cluster: GatewayCluster) -> None:
    """An instance starts that has got no response of the endpoint."""
    cluster.memory.add_contact("later")
    await cluster.memory.start("later")
    await asyncio.sleep(TOLD_S)


async def resume(cluster: GatewayCluster) -> None:
    """An instance is paused while the others hear that the endpoint leaves."""
    cluster.frozen.clear()
    cluster.memory.thaw("n5")
    await asyncio.sleep(TOLD_S)


async def _told(disturb: Disturbance) -> None:
    endpoint_by_id = make_started_endpoints(3, "plain")
    async with gateway_cluster(6, endpoint_by_id) as cluster:
        if disturb is resume:
            cluster.frozen.add(cluster.memory.address("n5"))
            cluster.memory.freeze("n5")
        leaving = endpoint_by_id["plain-1"]
        leaving.is_leaving = True
        for number in range(30):
            await cluster.send(f"n{number % 5}", "look")
        assert leaving.answers
        await asyncio.sleep(3.0)
        await disturb(cluster)
        since = now()
        replies = await cluster.load(40.0, 3.0, path="look")
        assert not leaving.arrivals_since(since)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize("disturb", [restart_some, start_another, resume])
def test_instances_that_lack_the_response_are_told(disturb: Disturbance) -> None:
    run(_told, disturb)


async def _goes_on(change: Callable[[GatewayCluster, SimulatedEndpoint], None]) -> None:
    endpoint_by_id = make_started_endpoints(3, "plain")
    async with gateway_cluster(3, endpoint_by_id) as cluster:
        leaving = endpoint_by_id["plain-1"]
        leaving.is_leaving = True
        await cluster.load(40.0, 1.0, path="look")
        leaving.is_leaving = False
        since = now()
        change(cluster, leaving)
        await cluster.load(40.0, 3.0, path="look")
        assert not leaving.arrivals_since(since)


def list_as_leaving_and_ready(
    cluster: GatewayCluster, endpoint: SimulatedEndpoint
) -> None:
    """The registry repeats an entry from before the endpoint left."""
    former = endpoint.endpoint
    for app in cluster.memory.applications:
        registry = app.get("catalog").registry
        for state in (EndpointState.LEAVING, EndpointState.READY):
            registry.put(attrs.evolve(former, state=state))
            app.events.emit(ENDPOINT_CHANGED, registry.find(former.id))


def lapse_and_return(cluster: GatewayCluster, endpoint: SimulatedEndpoint) -> None:
    """The endpoint's entry expires while the store is down, and comes back."""
    former = endpoint.endpoint
    for app in cluster.memory.applications:
        registry = app.get("catalog").registry
        registry.remove(former.id)
        app.events.emit(ENDPOINT_CHANGED, former)
        registry.put(former)
        app.events.emit(ENDPOINT_CHANGED, former)


@pytest.mark.parametrize("change", [list_as_leaving_and_ready, lapse_and_return])
def test_a_process_that_leaves_never_accepts_requests_again(
    change: Callable[[GatewayCluster, SimulatedEndpoint], None],
) -> None:
    run(_goes_on, change)


async def _restarted(is_start_known: bool) -> None:
    make = make_started_endpoints if is_start_known else make_endpoints
    endpoint_by_id = make(1, "plain")
    (endpoint,) = endpoint_by_id.values()
    async with gateway_cluster(3, endpoint_by_id) as cluster:
        endpoint.is_leaving = True
        await cluster.load(20.0, 1.0, path="look")
        endpoint.is_leaving = False
        replace_process(cluster, endpoint)
        replies = await cluster.load(20.0, 2.0, path="look")
        assert share_served(replies) == 1


@pytest.mark.parametrize("is_start_known", [True, False])
def test_another_process_of_an_endpoint_gets_requests(is_start_known: bool) -> None:
    run(_restarted, is_start_known)


async def _restarted_unknown() -> None:
    endpoint_by_id = make_endpoints(1, "plain")
    (endpoint,) = endpoint_by_id.values()
    async with gateway_cluster(3, endpoint_by_id) as cluster:
        endpoint.is_leaving = True
        await cluster.load(20.0, 1.0, path="look")
        endpoint.is_leaving = False
        for app in cluster.memory.applications:
            registry = app.get("catalog").registry
            registry.remove(endpoint.endpoint.id)
            app.events.emit(ENDPOINT_CHANGED, endpoint.endpoint)
            registry.put(endpoint.endpoint)
            app.events.emit(ENDPOINT_CHANGED, endpoint.endpoint)
        await restart_some(cluster)
        replies = await cluster.load(20.0, 2.0, path="look")
        assert share_served(replies) == 1


def test_a_process_of_unknown_start_is_not_held_to_a_former_one() -> None:
    """Another process under its id looks the same, so other instances are not told."""
    run(_restarted_unknown)


async def _refuses_as_well() -> None:
    endpoint_by_id = make_started_endpoints(2, "plain")
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        leaving = endpoint_by_id["plain-0"]
        leaving.is_leaving = True
        leaving.retry_after_s = 0.5
        await cluster.load(20.0, 1.0, path="look")
        leaving.retry_after_s = None
        since = now()
        await cluster.load(20.0, 4.0, path="look")
        assert not leaving.arrivals_since(since)


def test_a_refusal_says_so_too_and_its_time_does_not_end_it() -> None:
    run(_refuses_as_well)
