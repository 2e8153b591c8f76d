"""Tests that the traffic per instance does not grow with the number of instances."""

from __future__ import annotations

import asyncio

import pytest

from bench.control._cluster import (
    measure_traffic,
    run_with_simulated_clock,
    start_cluster,
)
from cicadacourse.membership import Membership
from standins.memory_cluster import MemoryCluster
from tests.test_membership import naive

SMALL, LARGE = 6, 24
QUIET_S = 10.0
MAX_GROWTH = 1.25


async def sent_per_instance(make, size):
    """Returns the calls and bytes per instance in ``QUIET_S`` without any change."""
    cluster = MemoryCluster([make])
    await start_cluster(cluster, [f"e{index}" for index in range(size)])
    before = measure_traffic(cluster.applications, "membership")
    await asyncio.sleep(QUIET_S)
    sent = measure_traffic(cluster.applications, "membership").since(before)
    await cluster.close()
    return sent.calls / size, sent.sent_bytes / size


@pytest.mark.parametrize("make", [Membership, naive.gossiping_everything])
def test_calls_and_bytes_are_flat_in_the_number_of_members(make):
    few = run_with_simulated_clock(sent_per_instance(make, SMALL))
    many = run_with_simulated_clock(sent_per_instance(make, LARGE))
    assert many[0] <= MAX_GROWTH * few[0]
    assert (many[1] <= MAX_GROWTH * few[1]) == (make is Membership)


async def _sent_after_a_start_alone():
    """Returns the calls per instance in ``QUIET_S``; one started without contacts."""
    cluster = MemoryCluster([Membership])
    await cluster.start("e0")
    await asyncio.sleep(1.0)
    names = [f"e{index}" for index in range(SMALL)]
    for name in names:
        cluster.add_contact(name)
    for name in names[1:]:
        await cluster.start(name)
    await asyncio.sleep(30.0)
    before = measure_traffic(cluster.applications, "membership")
    await asyncio.sleep(QUIET_S)
    sent = measure_traffic(cluster.applications, "membership").since(before)
    await cluster.close()
    return sent.calls / SMALL


def test_an_instance_that_started_alone_causes_no_traffic_of_its_own():
    """It took each record of itself for that of a former process and refuted it.

    Others returned the refutation, and so on, hundreds of times a second.
    """
    calls, _ = run_with_simulated_clock(sent_per_instance(Membership, SMALL))
    alone = run_with_simulated_clock(_sent_after_a_start_alone())
    assert alone <= MAX_GROWTH * calls
