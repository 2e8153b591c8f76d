"""Random comings and goings: the limit holds within the stated error."""

from __future__ import annotations

import asyncio

import looptime
from hypothesis import example, given, settings

from cicadacourse.limits import Limits
from tests.test_limits import naive
from tests.test_limits.load import (
    BURST,
    NAMES,
    RATE,
    SLICE_LIFE_S,
    Judge,
    running,
    send_everywhere,
)
from tests.test_membership.test_membership_histories import Fault, apply, histories

LOAD_S = 60.0
ROLLING_RESTART = [
    Fault(action, name, 4.0) for name in NAMES for action in ("kill", "start")
]


async def excess_after(make, history):
    """Returns by how much the admitted was over the rate, and the faulty time."""
    async with running(make) as cluster:
        await asyncio.sleep(20)
        judge = Judge()
        sending = asyncio.create_task(
            send_everywhere(cluster, judge, "large", 5, 100.0, LOAD_S)
        )
        for fault in history:
            await asyncio.sleep(fault.pause_s)
            await apply(cluster, fault)
        addresses = cluster.addresses(NAMES)
        cluster.network.heal(addresses, addresses)
        for name in NAMES:
            cluster.thaw(name)
        await sending
        return judge


def stated_error(history):
    """Returns the bound of docs/design/limits.md for a history of faults.

    While views differ or a keeper is out of reach, the parts that are cut off from
    each other admit up to the rate each, and their share of the burst once.
    """
    if not history:
        return 0.0
    faulty_s = sum(fault.pause_s for fault in history) + 20.0
    parts = 1 + len(history)
    return RATE * min(faulty_s, LOAD_S) * 2 + BURST * parts


def holds(make, history):
    loop = looptime.new_event_loop(noop_cycles=2)
    try:
        judge = loop.run_until_complete(excess_after(make, history))
    finally:
        loop.close()
    bound = BURST + RATE * SLICE_LIFE_S + stated_error(history)
    return judge.most_excess <= bound


@settings(max_examples=10)
@given(histories)
@example(ROLLING_RESTART)
def test_the_limit_holds_as_instances_come_and_go(history):
    assert holds(Limits, history)


def test_own_buckets_do_not_hold_it():
    assert not holds(naive.with_own_buckets, [])
