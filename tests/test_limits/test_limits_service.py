"""Tests of organisations' limits; each also fails with its mechanism off."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from returns.result import Success

from cicadacourse.errors import ErrorKind
from cicadacourse.limits import Limits, LimitsSettings
from cicadacourse.limits._messages import SliceRequest
from cicadacourse.util.clock import now
from tests.test_limits import naive
from tests.test_limits.load import (
    BURST,
    NAMES,
    RATE,
    ROUTE,
    SLICE_LIFE_S,
    Judge,
    running,
    send_everywhere,
)

pytestmark = pytest.mark.looptime(noop_cycles=2)

ONE_REQUEST = 100.0
SLICE = SliceRequest(
    organisation="large",
    route="chat",
    rate=RATE,
    burst=BURST,
    needed=ONE_REQUEST,
    wanted=ONE_REQUEST,
)
BOUND = BURST + RATE * SLICE_LIFE_S


def with_naive(make):
    return pytest.mark.parametrize("make", [Limits, make])


def expect(holds, make):
    """A property holds with the real service and fails with a mechanism off."""
    assert holds == (make is Limits)


def slice_requests(cluster):
    return sum(
        app.metrics.value("peer_calls_sent_total", message="limits.SliceRequest")
        for app in cluster.app_by_name.values()
    )


@with_naive(naive.with_own_buckets)
async def test_six_instances_together_hold_the_limit_and_use_it(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        judge = Judge()
        await send_everywhere(cluster, judge, "large", 5, ONE_REQUEST, 60)
        assert judge.admitted > 0.85 * RATE * 60
        expect(judge.most_excess <= BOUND, make)


@with_naive(naive.asking_for_each_request)
async def test_a_busy_organisation_costs_about_a_message_a_second(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        before = slice_requests(cluster)
        await send_everywhere(cluster, Judge(), "busy", 30, 2.0, 30)
        per_instance_s = (slice_requests(cluster) - before) / len(NAMES) / 30
        expect(per_instance_s <= 2.0, make)


@with_naive(naive.asking_for_each_request)
async def test_an_organisation_at_its_limit_floods_no_keeper(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        before = slice_requests(cluster)
        await send_everywhere(cluster, Judge(), "flood", 60, 17.0, 20)
        per_instance_s = (slice_requests(cluster) - before) / len(NAMES) / 20
        expect(per_instance_s <= 4.0, make)


@with_naive(naive.without_local_allowance)
async def test_serving_goes_on_while_no_keeper_answers(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        addresses = cluster.addresses(NAMES)
        cluster.network.cut(addresses, addresses)
        judge = Judge()
        await send_everywhere(cluster, judge, "small", 1, 50.0, 3)
        expect(judge.admitted > 0 and judge.refused == 0, make)


@with_naive(naive.with_full_new_buckets)
async def test_a_new_keeper_does_not_give_the_whole_burst_again(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        judge = Judge()
        await send_everywhere(cluster, judge, "large", 5, ONE_REQUEST, 10)
        keeper = cluster.get("e1", "membership").owner("organisation/large")
        await cluster.kill(keeper.name)
        await send_everywhere(cluster, judge, "large", 5, ONE_REQUEST, 10)
        rows = [
            row for one in cluster.services("limits") for row in one.organisations()
        ]
        assert len(rows) == 1
        levels = [
            one._keeper._level_at_move(SLICE) for one in cluster.services("limits")
        ]
        expect(max(levels) <= 0.5 * BURST + RATE * 10, make)
        assert judge.most_excess <= BOUND + 0.5 * BURST + BURST + RATE * 2


@with_naive(naive.with_lasting_slices)
async def test_a_slice_is_void_after_its_life(make):
    async with running(make, NAMES[:1]) as cluster:
        await asyncio.sleep(20)
        limits = cluster.get("e1", "limits")
        for _ in range(3):
            await limits.admit("large", ROUTE, ONE_REQUEST, now() + 10)
        held = limits._share("large", ROUTE)
        assert held.spend(1.0, now())
        await asyncio.sleep(SLICE_LIFE_S)
        expect(not held.spend(1.0, now()), make)


@with_naive(naive.with_own_buckets)
async def test_a_flood_of_one_organisation_leaves_the_others_alone(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        flood, quiet = Judge(), Judge()
        await asyncio.gather(
            send_everywhere(cluster, flood, "flood", 20, 500.0, 30),
            send_everywhere(cluster, quiet, "quiet", 1, 50.0, 30),
        )
        assert quiet.refused == 0 and quiet.admitted > 0
        expect(flood.most_excess <= BOUND, make)


async def test_who_comes_back_when_told_is_admitted():
    async with running(Limits) as cluster:
        await asyncio.sleep(20)
        limits = cluster.get("e1", "limits")
        assert await limits.admit("o", ROUTE, 4000.0, now() + 10) == Success(None)
        for tokens in (4000.0, 2000.0, 5000.0):
            started = now()
            refused = await limits.admit("o", ROUTE, tokens, now() + 10)
            error = refused.failure()
            assert error.kind is ErrorKind.LIMIT_EXCEEDED
            assert now() - started < 0.1
            await asyncio.sleep(error.retry_after_s + 0.01)
            assert await limits.admit("o", ROUTE, tokens, now() + 10) == Success(None)


async def test_a_small_request_is_not_held_up_by_a_refused_large_one():
    async with running(Limits) as cluster:
        await asyncio.sleep(20)
        limits = cluster.get("e1", "limits")
        await limits.admit("o", ROUTE, 4000.0, now() + 10)
        assert (await limits.admit("o", ROUTE, 4000.0, now() + 10)).failure()
        assert await limits.admit("o", ROUTE, 10.0, now() + 10) == Success(None)


async def test_a_raised_limit_holds_at_once():
    low = attrs.evolve(ROUTE, organisation_rate=1.0)
    async with running(Limits) as cluster:
        await asyncio.sleep(20)
        limits = cluster.get("e1", "limits")
        assert await limits.admit("o", low, 2000.0, now() + 10) == Success(None)
        assert (await limits.admit("o", low, 4000.0, now() + 10)).failure()
        await asyncio.sleep(5)
        high = attrs.evolve(ROUTE, organisation_rate=1e6)
        await limits.admit("o", high, 1.0, now() + 10)
        await asyncio.sleep(1)
        assert await limits.admit("o", high, 4000.0, now() + 10) == Success(None)


async def test_a_request_over_the_burst_is_told_so():
    async with running(Limits, NAMES[:1]) as cluster:
        limits = cluster.get("e1", "limits")
        refused = await limits.admit("o", ROUTE, BURST + 1, now() + 10)
        assert refused.failure().kind is ErrorKind.TOO_LARGE


async def test_state_is_bounded_and_full_buckets_are_dropped():
    few = LimitsSettings(max_buckets=100)
    async with running(Limits, NAMES[:1], few) as cluster:
        await asyncio.sleep(20)
        limits = cluster.get("e1", "limits")
        for index in range(1000):
            await limits.admit(f"o{index}", ROUTE, 10.0, now() + 10)
        assert len(limits.organisations()) <= 100
        assert len(limits._share_by_id) <= 100
        await asyncio.sleep(60)
        assert limits.organisations() == []
