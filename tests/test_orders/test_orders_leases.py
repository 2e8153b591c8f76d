"""Tests of orders under leases: pauses, outages, races and lost answers."""

from __future__ import annotations

import asyncio
import random

import pytest

from cicadacourse.orders import Orders
from cicadacourse.orders._settings import ORDERS, ORDERS_DEFERRED
from tests.test_orders.fleet import Fleet, roles, until
from tests.test_orders.naive import UncheckedOrders

pytestmark = pytest.mark.looptime(noop_cycles=1)


async def test_an_engine_is_brought_to_its_pools_state():
    fleet = Fleet()
    async with fleet.node("n1") as node:
        node.tables.put(1, role="decode")
        await until(lambda: fleet.engines[0].model.role == "decode")
        await asyncio.sleep(30)
        assert roles(fleet.engines[0]) == ["decode"]


async def test_every_instance_shows_who_holds_a_lease():
    fleet = Fleet()
    async with fleet.node("n1") as first, fleet.node("n2", owner="n1") as second:
        await until(lambda: first.usable_token("e0") is not None)
        (mine,) = first.app.get("orders").leases()
        (other,) = second.app.get("orders").leases()
        assert (mine["own"], other["own"]) == (True, False)
        assert (mine["name"], mine["token"]) == (other["name"], other["token"])
        assert other["holder"].startswith("n1/")


async def give_order_after_pause(orders_class, checks_fencing):
    """Freezes a holder before its order; a successor orders; the holder resumes."""
    fleet = Fleet(checks_fencing=checks_fencing)
    engine = fleet.engines[0]
    async with (
        fleet.node("n1", orders_class=orders_class) as first,
        fleet.node("n2", owner="n1") as second,
    ):
        await until(lambda: first.client.states_read)
        first.client.gate.close()
        first.tables.put(2, role="prefill")
        await until(lambda: first.client.gate.waiting)
        first.log.gate.close()
        second.tables.put(3, role="decode")
        second.membership.default_owner = "n2"
        await until(lambda: engine.model.role == "decode")
        first.client.gate.open()
        await asyncio.sleep(1)
        refused = first.app.metrics.value(ORDERS, outcome="fenced")
        return roles(engine), refused


@pytest.mark.parametrize("checks_fencing", [False, True])
async def test_a_paused_holder_that_resumes_gives_no_order(checks_fencing):
    given, refused = await give_order_after_pause(Orders, checks_fencing)
    assert (given, refused) == (["decode"], 0)


async def test_without_the_lease_check_a_resumed_holder_reverts_the_engine():
    given, _ = await give_order_after_pause(UncheckedOrders, checks_fencing=False)
    assert given == ["decode", "prefill"]


async def test_without_the_lease_check_an_engine_that_checks_refuses_the_token():
    given, refused = await give_order_after_pause(UncheckedOrders, checks_fencing=True)
    assert given == ["decode"] and refused == 1


async def order_during_outage(orders_class):
    """Takes the log down for longer than a lease, then wants another state."""
    fleet = Fleet()
    async with fleet.node("n1", orders_class=orders_class) as node:
        await until(lambda: node.usable_token("e0") is not None)
        fleet.log.faults.set("outage")
        await asyncio.sleep(15)
        node.tables.put(2, role="decode")
        await asyncio.sleep(60)
        during = roles(fleet.engines[0])
        fleet.log.faults.set("none")
        await until(lambda: fleet.engines[0].model.role == "decode")
        return during, node.app.metrics.value(ORDERS_DEFERRED, reason="no_lease")


async def test_without_the_log_no_order_is_given_and_after_it_orders_go_on():
    during, deferred = await order_during_outage(Orders)
    assert during == [] and deferred > 0


async def test_without_the_lease_check_orders_are_given_without_the_log():
    during, _ = await order_during_outage(UncheckedOrders)
    assert during == ["decode"]


async def count_overlaps(orders_class, seed):
    """Runs two instances that both believe they own; counts moments of two tokens."""
    fleet = Fleet()
    rng = random.Random(seed)
    overlaps = used = 0
    async with (
        fleet.node("n1", orders_class=orders_class) as first,
        fleet.node("n2", orders_class=orders_class) as second,
    ):
        for _ in range(60):
            node = rng.choice([first, second])
            switch = rng.choice([node.log.gate.close, node.log.gate.open])
            switch()
            fault = rng.choice(["outage", "lose_answer", "lose_append", "slow_s"])
            fleet.log.faults.set("none")
            fleet.log.faults.set(fault, rng.choice([0, 0, 0.5, 1.0]))
            for _ in range(rng.randrange(10, 300)):
                await asyncio.sleep(0.1)
                tokens = [n.usable_token("e0") for n in (first, second)]
                overlaps += None not in tokens
                used += tokens != [None, None]
    return overlaps, used


@pytest.mark.parametrize("seed", range(6))
async def test_two_instances_never_hold_one_lease_together(seed):
    overlaps, used = await count_overlaps(Orders, seed)
    assert overlaps == 0 and used > 0


async def test_without_the_lease_check_two_instances_hold_one_lease():
    counts = [await count_overlaps(UncheckedOrders, seed) for seed in range(3)]
    assert sum(overlaps for overlaps, _ in counts) > 0


async def test_leases_are_kept_through_lost_append_answers():
    fleet = Fleet()
    fleet.log.faults.set("lose_answer", 1.0)
    async with fleet.node("n1") as node:
        node.tables.put(1, role="decode")
        await until(lambda: fleet.engines[0].model.role == "decode")
        await asyncio.sleep(60)
        assert node.usable_token("e0") is not None
        assert roles(fleet.engines[0]) == ["decode"]
