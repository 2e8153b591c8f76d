"""Tests of how a lease passes from one holder to the next."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.orders import Orders
from cicadacourse.orders._settings import ORDERS_DEFERRED
from tests.test_orders.fleet import Fleet, roles, until
from tests.test_orders.naive import HastyOrders, ReadTimeOrders, ShortWaitOrders

pytestmark = pytest.mark.looptime(noop_cycles=1)


async def count_overlaps_after_late_read(orders_class):
    """A holder's last renewal reaches it long after the log took it."""
    fleet = Fleet()
    overlaps = 0
    async with (
        fleet.node("n1", orders_class=orders_class) as first,
        fleet.node("n2", owner="n1", orders_class=orders_class) as second,
    ):
        await until(lambda: first.usable_token("e0") is not None)
        first.log.read_delay_s = 25.0
        appends = fleet.log.appends
        await until(lambda: fleet.log.appends > appends)
        first.log.append_gate.close()
        second.membership.default_owner = "n2"
        for _ in range(600):
            await asyncio.sleep(0.1)
            tokens = [node.usable_token("e0") for node in (first, second)]
            overlaps += None not in tokens
        assert second.usable_token("e0") is not None
    return overlaps


async def test_a_renewal_that_is_read_late_counts_from_when_it_was_sent():
    assert await count_overlaps_after_late_read(Orders) == 0


async def test_a_lease_measured_from_reading_overlaps_the_next():
    assert await count_overlaps_after_late_read(ReadTimeOrders) > 0


async def count_overlaps_after_clock_jump(orders_class):
    """The log's clock jumps; a lease passes through a second to a third holder."""
    fleet = Fleet()
    overlaps = 0
    options = {"lease_s": 60.0, "orders_class": orders_class}
    async with (
        fleet.node("n1", **options) as first,
        fleet.node("n2", owner="n1", **options) as second,
        fleet.node("n3", owner="n1", **options) as third,
    ):
        await until(lambda: first.usable_token("e0") is not None)
        first.log.append_gate.close()
        fleet.log.set_wall_offset_s(2_000_000_000.0)
        second.membership.default_owner = "n2"
        await until(lambda: second.leases.holds("e0"))
        second.membership.default_owner = third.membership.default_owner = "n3"
        for _ in range(2000):
            await asyncio.sleep(0.1)
            tokens = [node.usable_token("e0") for node in (first, second, third)]
            overlaps += tokens.count(None) < 2
        assert third.usable_token("e0") is not None
    return overlaps


async def test_a_jump_of_the_logs_clock_gives_no_lease_to_two():
    assert await count_overlaps_after_clock_jump(Orders) == 0


async def test_a_short_wait_after_a_clock_jump_gives_a_lease_to_two():
    assert await count_overlaps_after_clock_jump(ShortWaitOrders) > 0


async def order_in_flight_at_handover(orders_class):
    """Hands over while an order is under way; returns the roles in their order."""
    fleet = Fleet()
    engine = fleet.engines[0]
    options = {"order_timeout_s": 5.0, "margin_s": 0.5, "orders_class": orders_class}
    async with (
        fleet.node("n1", **options) as first,
        fleet.node("n2", owner="n1", **options) as second,
    ):
        first.client.order_delay_s = 4.9
        await until(lambda: first.client.states_read)
        first.tables.put(2, role="prefill")
        second.tables.put(3, role="decode")
        await until(lambda: first.client.orders_sent)
        first.membership.default_owner = second.membership.default_owner = "n2"
        await until(lambda: engine.model.role == "decode")
        await asyncio.sleep(5)
        return roles(engine)


async def test_a_successor_orders_after_every_order_under_way():
    assert await order_in_flight_at_handover(Orders) == ["prefill", "decode"]


async def test_a_hasty_successor_is_overtaken_by_an_order_under_way():
    given = await order_in_flight_at_handover(HastyOrders)
    assert given[:2] == ["decode", "prefill"]


async def test_a_planned_handover_needs_no_lease_to_run_out():
    fleet = Fleet()
    async with fleet.node("n1") as first, fleet.node("n2", owner="n1") as second:
        await until(lambda: first.usable_token("e0") is not None)
        first.membership.default_owner = second.membership.default_owner = "n2"
        await until(lambda: second.usable_token("e0") is not None, timeout_s=8)
        assert first.usable_token("e0") is None


async def test_a_stopping_instance_gives_its_leases_back():
    fleet = Fleet()
    async with fleet.node("n2", owner="n1") as second:
        async with fleet.node("n1") as first:
            await until(lambda: first.usable_token("e0") is not None)
            second.membership.default_owner = "n2"
            await asyncio.sleep(5)
            assert second.usable_token("e0") is None
        await until(lambda: second.usable_token("e0") is not None, timeout_s=8)


async def test_a_holder_with_older_tables_gives_no_order():
    fleet = Fleet()
    async with fleet.node("n1") as first, fleet.node("n2", owner="n1") as second:
        first.tables.put(5, role="decode")
        second.tables.put(4, role="prefill")
        await until(lambda: fleet.engines[0].model.role == "decode")
        first.membership.default_owner = second.membership.default_owner = "n2"
        await until(lambda: second.usable_token("e0") is not None)
        await asyncio.sleep(10)
        assert roles(fleet.engines[0]) == ["decode"]
        deferred = second.app.metrics.value(ORDERS_DEFERRED, reason="tables_behind")
        assert deferred > 0
