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
