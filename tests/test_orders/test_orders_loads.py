"""Tests of how many endpoints load at a time and of the weight store's limit."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.orders._keeper import EndpointKeeper
from cicadacourse.orders._loads import LoadSlots
from cicadacourse.orders._settings import ORDERS_DEFERRED
from standins.engine import Order
from standins.weight_store import WeightStoreCore
from tests.test_orders.fleet import Fleet, until

pytestmark = pytest.mark.looptime(noop_cycles=1)

ENGINES = 5
TIMEOUT_S = 1200


async def roll_out(fleet, version=2):
    """Rolls a version out by two instances that each own some of the engines.

    :returns: the most engines seen loading together.
    """
    most = 0

    def watch():
        nonlocal most
        most = max(most, sum(engine.model.loading for engine in fleet.engines))
        return all(
            engine.model.model_version == version and not engine.model.loading
            for engine in fleet.engines
        )

    async with fleet.node("n1") as first, fleet.node("n2", owner="n1") as second:
        for node in (first, second):
            node.membership.owner_names = {"e0": "n2", "e1": "n2"}
            node.tables.put(2, model_version=version)
        await until(watch, TIMEOUT_S)
        deferred = [
            node.app.metrics.value(ORDERS_DEFERRED, reason="weight_store")
            for node in (first, second)
        ]
    return most, sum(deferred)


async def test_a_roll_out_over_two_instances_loads_two_engines_at_a_time():
    fleet = Fleet(ENGINES, store=WeightStoreCore(loads_per_s=10, burst=10))
    most, _ = await roll_out(fleet)
    assert most == 2


async def test_without_slots_every_engine_loads_together(monkeypatch):
    async def are_serving(keeper, others, needed):
        return True

    monkeypatch.setattr(LoadSlots, "acquire", lambda *arguments: True)
    monkeypatch.setattr(EndpointKeeper, "_are_serving", are_serving)
    fleet = Fleet(ENGINES, store=WeightStoreCore(loads_per_s=10, burst=10))
    most, _ = await roll_out(fleet)
    assert most == ENGINES


async def test_a_pool_of_two_keeps_one_serving():
    fleet = Fleet(2, store=WeightStoreCore(loads_per_s=10, burst=10))
    most, _ = await roll_out(fleet)
    assert most == 1


async def test_loads_keep_to_the_weight_stores_rate():
    fleet = Fleet(ENGINES, store=WeightStoreCore(loads_per_s=0.02, burst=1))
    _, deferred = await roll_out(fleet)
    orders = sum(len(engine.model.orders) for engine in fleet.engines)
    assert orders == len(fleet.store.loads) == ENGINES and deferred > 0


async def test_no_load_begins_while_the_weight_store_is_down():
    fleet = Fleet(ENGINES)
    fleet.store.faults.set("down")
    async with fleet.node("n1") as node:
        node.tables.put(2, model_version=2)
        await asyncio.sleep(300)
        assert {engine.model.model_version for engine in fleet.engines} == {1}
        fleet.store.faults.set("none")
        await until(lambda: fleet.engines[0].model.model_version == 2, TIMEOUT_S)


async def test_the_last_serving_engine_does_not_load_while_others_are_silent():
    fleet = Fleet(3)
    for engine in fleet.engines[1:]:
        engine.faults.set("silence")
    async with fleet.node("n1") as node:
        node.tables.put(2, model_version=2)
        await asyncio.sleep(300)
        assert fleet.engines[0].model.model_version == 1
        for engine in fleet.engines[1:]:
            engine.faults.set("none")
        await until(lambda: fleet.engines[0].model.model_version == 2, TIMEOUT_S)


async def test_an_engine_that_is_ejected_while_it_loads_still_counts():
    fleet = Fleet(2, store=WeightStoreCore(loads_per_s=10, burst=10))
    async with fleet.node("n1") as node:
        node.tables.put(2, model_version=2)
        for _ in range(1500):
            await asyncio.sleep(0.1)
            loading = [e.name for e in fleet.engines if e.model.loading]
            node.directory.states_by_name = dict.fromkeys(loading, "ejected")
            assert len(loading) < 2
        assert {engine.model.model_version for engine in fleet.engines} == {2}


async def test_a_leaving_engine_gets_no_orders():
    fleet = Fleet(2, store=WeightStoreCore(loads_per_s=10, burst=10))
    async with fleet.node("n1") as node:
        node.directory.states_by_name = {"e0": "leaving"}
        node.tables.put(2, model_version=2)
        await until(lambda: fleet.engines[1].model.model_version == 2, TIMEOUT_S)
        await asyncio.sleep(100)
        assert fleet.engines[0].model.orders == []


async def test_a_successor_waits_for_the_load_that_a_dead_holder_began():
    fleet = Fleet(2, store=WeightStoreCore(loads_per_s=10, burst=10))
    first, second = fleet.engines
    async with fleet.node("n1") as node:
        node.tables.put(2, model_version=2)
        await until(lambda: first.model.loading or second.model.loading)
        node.log.gate.close()
    async with fleet.node("n2") as node:
        node.tables.put(2, model_version=2)
        for _ in range(1000):
            await asyncio.sleep(0.1)
            assert not (first.model.loading and second.model.loading)
        assert {first.model.model_version, second.model.model_version} == {2}


async def load_beside_orphan(fleet):
    """Two holders want to load while a load that nobody has a slot for goes on."""
    orphan = Order(token=0, holder="gone", model="base", model_version=2)
    fleet.engines[0].model.take(orphan)
    most = 0
    async with fleet.node("n1") as first, fleet.node("n2") as second:
        for node in (first, second):
            node.membership.owner_names = {"e1": "n1", "e2": "n2", "e0": "n1"}
            node.client.state_delay_s = 1.5
            node.tables.put(2, model_version=2)
        for _ in range(2000):
            await asyncio.sleep(0.1)
            loading = [engine.model.loading for engine in fleet.engines]
            most = max(most, sum(loading))
    return most


async def test_one_engine_serves_beside_two_slots_and_an_orphaned_load():
    assert await load_beside_orphan(Fleet(3, model_load_s=60.0)) < 3


async def test_with_one_serving_engine_enough_none_may_serve(monkeypatch):
    counted = EndpointKeeper._are_serving
    monkeypatch.setattr(
        EndpointKeeper,
        "_are_serving",
        lambda keeper, others, needed: counted(keeper, others, 1),
    )
    assert await load_beside_orphan(Fleet(3, model_load_s=60.0)) == 3
