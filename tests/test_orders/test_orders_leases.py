"""Tests of orders under leases: pauses, outages, races and lost answers."""

from __future__ import annotations

import asyncio
import random

import pytest

from cicadacourse.metrics import Metrics
from cicadacourse.orders import Orders, OrderSettings
from cicadacourse.orders._holder import LeaseHolder
from cicadacourse.orders._records import (
    STREAM,
    LeaseRecord,
    Snapshot,
    encode,
)
from cicadacourse.orders._settings import ORDERS, ORDERS_DEFERRED
from cicadacourse.orders._view import LeaseView
from cicadacourse.util.clock import now
from standins.log import LogCore
from tests.test_orders.fleet import Fleet, until

pytestmark = pytest.mark.looptime(noop_cycles=1)


class UncheckedHolder(LeaseHolder):
    """Believes in its lease for as long as nobody tells it otherwise."""

    def _lasts(self, own, needed_s):
        return True

    def _forget_if_over(self, name, own):
        """Keeps the lease."""


class UncheckedOrders(Orders):
    holder_class = UncheckedHolder


class ReadTimeHolder(LeaseHolder):
    """Measures its lease from when it read the record."""

    def _get_end(self, sent_at):
        return super()._get_end(now())


class ReadTimeOrders(Orders):
    holder_class = ReadTimeHolder


class HastyHolder(LeaseHolder):
    """Uses a lease as soon as it is granted."""

    def _usable_from(self, name):
        return now()


class HastyOrders(Orders):
    holder_class = HastyHolder


def roles(engine):
    return [order.role for order in engine.model.orders]


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


class ShortWaitHolder(LeaseHolder):
    """Waits for orders under way only, whatever became of the holder before."""

    def _usable_from(self, name):
        return now() + self._settings.order_timeout_s


class ShortWaitOrders(Orders):
    holder_class = ShortWaitHolder


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


async def count_overlaps_after_gap():
    """An instance reads on after records that it never read have expired."""
    fleet = Fleet(retention_s=30)
    overlaps = 0
    async with fleet.node("n2", owner="n1", snapshot_s=1000) as second:
        await until(lambda: second.leases.view.settled)
        second.log.gate.close()
        async with fleet.node("n1", snapshot_s=1000) as first:
            await asyncio.sleep(100)
            second.membership.default_owner = "n2"
            second.log.gate.open()
            for _ in range(600):
                await asyncio.sleep(0.1)
                tokens = [node.usable_token("e0") for node in (first, second)]
                overlaps += None not in tokens
    return overlaps


async def test_an_instance_that_missed_records_claims_nothing_by_its_old_view():
    assert await count_overlaps_after_gap() == 0


async def test_reading_on_over_a_gap_gives_a_lease_to_two(monkeypatch):
    monkeypatch.setattr(LeaseView, "_is_gap", lambda view, batch: False)
    assert await count_overlaps_after_gap() > 0


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
        await asyncio.sleep(1.5)
        return roles(engine)


async def test_a_successor_orders_after_every_order_under_way():
    assert await order_in_flight_at_handover(Orders) == ["prefill", "decode"]


async def test_a_hasty_successor_is_overtaken_by_an_order_under_way():
    given = await order_in_flight_at_handover(HastyOrders)
    assert given[:2] == ["decode", "prefill"]


async def test_leases_are_kept_through_lost_append_answers():
    fleet = Fleet()
    fleet.log.faults.set("lose_answer", 1.0)
    async with fleet.node("n1") as node:
        node.tables.put(1, role="decode")
        await until(lambda: fleet.engines[0].model.role == "decode")
        await asyncio.sleep(60)
        assert node.usable_token("e0") is not None
        assert roles(fleet.engines[0]) == ["decode"]


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


async def join_truncated_stream(snapshot_s):
    """Joins when the stream's beginning is gone; counts moments of two tokens."""
    fleet = Fleet(retention_s=30)
    overlaps = 0
    async with fleet.node("n1", snapshot_s=snapshot_s) as first:
        await asyncio.sleep(100)
        async with fleet.node("n2", snapshot_s=snapshot_s) as second:
            for _ in range(600):
                await asyncio.sleep(0.1)
                tokens = [node.usable_token("e0") for node in (first, second)]
                overlaps += None not in tokens
            return overlaps, second.leases.view.settled


async def test_a_newcomer_claims_nothing_before_it_knows_the_leases():
    assert await join_truncated_stream(snapshot_s=1000) == (0, False)
    assert await join_truncated_stream(snapshot_s=10) == (0, True)


async def test_a_newcomer_that_trusts_a_truncated_stream_holds_a_foreign_lease(
    monkeypatch,
):
    def settle_at_once(view, log_time_ms):
        view.settled = True

    monkeypatch.setattr(LeaseView, "_settle_if_quiet", settle_at_once)
    overlaps, _ = await join_truncated_stream(snapshot_s=1000)
    assert overlaps > 0


async def test_a_snapshot_older_than_the_records_read_is_not_taken_up():
    log = LogCore(retention_s=30)
    claim = LeaseRecord(holder="a", sequence=1, claims=("x",))
    renewal = LeaseRecord(holder="a", sequence=2)
    late = Snapshot(as_of=0, time_ms=0, tables_version=0, leases_by_name={})
    await log.append(STREAM, [encode(claim)], 1)
    for _ in range(8):
        await asyncio.sleep(5)
        await log.append(STREAM, [encode(renewal)], 1)
    await log.append(STREAM, [encode(late)], 1)
    view = LeaseView(
        log, OrderSettings(), Metrics(), random.Random(1), lambda *arguments: None
    )
    following = asyncio.create_task(view.follow())
    await asyncio.sleep(2)
    following.cancel()
    assert view.next_offset == 10 and not view.settled


async def test_a_newcomer_settles_once_every_lease_has_ended():
    fleet = Fleet(retention_s=30)
    async with fleet.node("n1", snapshot_s=1000):
        await asyncio.sleep(100)
    async with fleet.node("n2", snapshot_s=1000) as second:
        await until(lambda: second.usable_token("e0") is not None, timeout_s=40)
