"""Tests of instances that have not read every record."""

from __future__ import annotations

import asyncio
import random

import pytest

from cicadacourse.metrics import Metrics
from cicadacourse.orders import OrderSettings
from cicadacourse.orders._records import STREAM, LeaseRecord, Snapshot, encode
from cicadacourse.orders._view import LeaseView
from standins.log import LogCore
from tests.test_orders.fleet import Fleet, until

pytestmark = pytest.mark.looptime(noop_cycles=1)


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
