"""A limit is kept while instances start, stop, freeze or can't reach each other.

Arrivals from an instance that was cut off or frozen are not counted: it can't know.
"""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable

import attrs
import pytest

from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.util import hashing
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints, most_in_window
from tests.test_limits.test_limits_cluster import TOLD_S, allowed, run

INSTANCES = 7
LIMIT = 1.5
LOAD = 30.0


def keeper_of(cluster: GatewayCluster, endpoint: SimulatedEndpoint) -> str:
    """Returns the name of the instance that grants an endpoint's permits."""
    key = f"endpoint-limit {endpoint.endpoint.id}@0"
    return hashing.rank(key, cluster.memory.application_by_name)[0]


@attrs.define
class Scenario:
    """A cluster under load, of which two engines of three name a limit."""

    cluster: GatewayCluster
    limited: list[SimulatedEndpoint]
    excused: set[str] = attrs.field(factory=set)

    def check(self, since: float) -> None:
        """Checks all windows from a moment on."""
        for endpoint in self.limited:
            times = [
                item.at
                for item in endpoint.arrivals
                if item.at >= since and item.instance not in self.excused
            ]
            assert most_in_window(times) <= allowed(LIMIT)
            assert times


Disturbance = Callable[[Scenario], Awaitable[None]]


async def kill_the_keeper(scenario: Scenario) -> None:
    """The instance that grants the permits dies and comes back."""
    for endpoint in scenario.limited:
        name = keeper_of(scenario.cluster, endpoint)
        await scenario.cluster.memory.kill(name)
        await asyncio.sleep(3.0)
        await scenario.cluster.memory.start(name)


async def restart_all(scenario: Scenario) -> None:
    """Every instance loses what it knew."""
    names = sorted(scenario.cluster.memory.application_by_name)
    for name in names:
        await scenario.cluster.memory.kill(name)
    for name in names:
        await scenario.cluster.memory.start(name)
    scenario.excused.clear()
    await asyncio.sleep(3.0)


async def freeze_the_keeper(scenario: Scenario) -> None:
    """The instance that grants the permits is paused, and then resumes."""
    name = keeper_of(scenario.cluster, scenario.limited[0])
    scenario.excused.add(name)
    scenario.cluster.frozen.add(scenario.cluster.memory.address(name))
    scenario.cluster.memory.freeze(name)
    await asyncio.sleep(4.0)
    scenario.cluster.memory.thaw(name)
    scenario.cluster.frozen.clear()


async def cut_off_two(scenario: Scenario) -> None:
    """Two instances can't reach the others, but the endpoints and callers."""
    memory = scenario.cluster.memory
    keeper = keeper_of(scenario.cluster, scenario.limited[0])
    cut_off = {keeper, min(set(memory.application_by_name) - {keeper})}
    scenario.excused |= cut_off
    addresses = memory.addresses(sorted(cut_off))
    others = [item for item in memory.network_addresses() if item not in addresses]
    memory.network.partition(addresses, others)
    await asyncio.sleep(6.0)
    memory.network.heal(addresses, others)


async def join_later(scenario: Scenario) -> None:
    """Instances start that no response has told of the limits."""
    for name in ("later-1", "later-2"):
        scenario.cluster.memory.add_contact(name)
        await scenario.cluster.memory.start(name)
        await asyncio.sleep(1.0)


async def lose_messages(scenario: Scenario) -> None:
    """Three messages in ten between instances are lost."""
    network = scenario.cluster.memory.network
    network.default_link.drop_probability = 0.3
    for pair in list(network._link_by_pair):
        network.link(*pair).drop_probability = 0.3
    await asyncio.sleep(5.0)


async def _disturbed(disturb: Disturbance) -> None:
    async with gateway_cluster(INSTANCES, make_endpoints(3)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.event_s = 0.1
        limited = [cluster.endpoint_by_id[id] for id in ("engines-0", "engines-2")]
        for endpoint in limited:
            endpoint.limit = LIMIT
        scenario = Scenario(cluster, limited)
        await cluster.load(LOAD, TOLD_S)
        since = now()
        load = asyncio.create_task(cluster.load(LOAD, 14.0, seed=2))
        await asyncio.sleep(1.0)
        await disturb(scenario)
        await load
        scenario.check(since)


@pytest.mark.parametrize(
    "disturb",
    [
        kill_the_keeper,
        restart_all,
        freeze_the_keeper,
        cut_off_two,
        join_later,
        lose_messages,
    ],
)
def test_the_limit_is_kept_by_the_instances_that_can_know_it(
    disturb: Disturbance,
) -> None:
    run(_disturbed, disturb)


async def _later_instance() -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (limited,) = cluster.endpoint_by_id.values()
        limited.limit = LIMIT
        await cluster.load(5.0, TOLD_S)
        cluster.memory.add_contact("later")
        app = await cluster.memory.start("later")
        await asyncio.sleep(TOLD_S)
        assert app.get("limits").limit_of(limited.endpoint) == LIMIT


def test_an_instance_that_starts_later_is_told_of_the_limit() -> None:
    run(_later_instance)


async def _endpoint_restarted() -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (limited,) = cluster.endpoint_by_id.values()
        limited.limit = LIMIT
        await cluster.load(5.0, TOLD_S)
        limited.limit = None
        former = limited.endpoint
        limited.endpoint = attrs.evolve(former, started_ms=7)
        for app in cluster.memory.applications:
            app.get("catalog").registry.put(limited.endpoint)
            app.events.emit(ENDPOINT_CHANGED, former)
        for app in cluster.memory.applications:
            assert app.get("limits").limit_of(limited.endpoint) is None
        replies = await cluster.load(20.0, 2.0, seed=2)
        assert all(reply.status == 200 for reply in replies)


def test_a_restarted_endpoint_is_not_held_to_its_former_limit() -> None:
    run(_endpoint_restarted)


async def _address_reused() -> None:
    endpoint_by_id = make_endpoints(1)
    async with gateway_cluster(3, endpoint_by_id) as cluster:
        (limited,) = endpoint_by_id.values()
        limited.limit = LIMIT
        await cluster.load(5.0, TOLD_S)
        successor = make_endpoints(2)["engines-1"]
        successor.endpoint = attrs.evolve(
            successor.endpoint, address=limited.endpoint.address
        )
        endpoint_by_id["engines-1"] = successor
        for app in cluster.memory.applications:
            registry = app.get("catalog").registry
            registry.remove(limited.endpoint.id)
            registry.put(successor.endpoint)
            app.events.emit(ENDPOINT_CHANGED, limited.endpoint)
        replies = await cluster.load(20.0, 2.0, seed=2)
        assert all(reply.status == 200 for reply in replies)


def test_the_next_endpoint_at_an_address_is_not_held_to_the_limit() -> None:
    run(_address_reused)


async def _paused_while_waiting() -> None:
    async with gateway_cluster(1, make_endpoints(1)) as cluster:
        (limited,) = cluster.endpoint_by_id.values()
        limited.limit = 1.0
        await cluster.load(10.0, 2.0)
        waiter = asyncio.create_task(cluster.send("n0", timeout_s=20.0))
        gate = cluster.memory.get("n0", "placement")._limit_gate
        await asyncio.sleep(0.05)
        place, late_by_s = gate._place, 3.0
        permits = []

        def place_late(waiting, pool, endpoint):
            permit = waiting.permit
            permits.append(permit.is_valid(endpoint.id, now() + late_by_s))
            return place(waiting, pool, endpoint)

        gate._place = place_late
        await waiter
        assert permits and not any(permits)


def test_a_permit_that_was_reserved_before_a_pause_is_not_used_after_it() -> None:
    run(_paused_while_waiting)
