"""What a process states of further requests is kept while its entry is rewritten.

Another writer may have written the entry, without the start of the process or with
another pool. It says nothing about the process, which serves on under its id.
"""

from __future__ import annotations

import asyncio
from typing import Callable

import pytest

from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.registry_entries import (
    REWRITES,
    WITH_OTHER_START,
    WITHOUT_START,
    Rewrites,
    list_entry,
    rewrite_entries,
)
from tests.simulated_endpoints import SimulatedEndpoint
from tests.test_placement.test_placement_leaving import TOLD_S, make_started_endpoints
from tests.test_placement.test_placement_retry_after import run, share_served

RATE = 40.0
# Longer than a scenario takes.
RETRY_AFTER_S = 20.0

Statement = Callable[[SimulatedEndpoint], None]


def leaves(endpoint: SimulatedEndpoint) -> None:
    """It states that it leaves."""
    endpoint.is_leaving = True


def declines(endpoint: SimulatedEndpoint) -> None:
    """It states for how long it wants no requests."""
    endpoint.retry_after_s = RETRY_AFTER_S


async def let_most(
    cluster: GatewayCluster, state: Statement
) -> list[SimulatedEndpoint]:
    """Lets the busiest endpoints but one state something, until that is known."""
    await cluster.load(RATE, 1.0, seed=3)
    endpoints = cluster.endpoint_by_id.values()
    stating = sorted(endpoints, key=lambda item: -len(item.arrivals))[:-1]
    for endpoint in stating:
        state(endpoint)
    await cluster.load(RATE, 2.0)
    for endpoint in stating:
        endpoint.retry_after_s = None
    await asyncio.sleep(TOLD_S)
    return stating


def check_kept(endpoint: SimulatedEndpoint, since: float) -> None:
    """Checks that no request came from an instance that what it states concerns."""
    arrivals = [item for item in endpoint.arrivals if item.at >= since]
    refused = {item.instance for item in endpoint.answers if item.head.retry_after_s}
    if not endpoint.is_leaving:
        arrivals = [item for item in arrivals if item.instance in refused]
    assert not arrivals


async def _rewritten(instances: int, state: Statement, rewrites: Rewrites) -> None:
    async with gateway_cluster(instances, make_started_endpoints(4)) as cluster:
        stating = await let_most(cluster, state)
        since = now()
        load = asyncio.create_task(cluster.load(RATE, 3.0, seed=2))
        entries = [item.endpoint for item in stating]
        for _ in range(3):
            await rewrite_entries(cluster, entries, rewrites)
        replies = await load
        for endpoint in stating:
            check_kept(endpoint, since)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize("instances", [1, 6, 40])
@pytest.mark.parametrize("state", [leaves, declines])
@pytest.mark.parametrize("rewrites", REWRITES)
def test_an_endpoint_gets_no_unwanted_request_while_its_entry_is_rewritten(
    instances: int, state: Statement, rewrites: Rewrites
) -> None:
    """Another entry was taken for another process, which had stated nothing."""
    run(_rewritten, instances, state, rewrites)


async def _returned(instances: int, state: Statement) -> None:
    async with gateway_cluster(instances, make_started_endpoints(4)) as cluster:
        stating = await let_most(cluster, state)
        entries = [item.endpoint for item in stating]
        await rewrite_entries(cluster, entries, (WITH_OTHER_START,))
        since = now()
        await cluster.load(RATE, 3.0, seed=2)
        for endpoint in stating:
            check_kept(endpoint, since)


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize("state", [leaves, declines])
def test_an_endpoint_gets_no_unwanted_request_after_an_entry_with_another_start(
    instances: int, state: Statement
) -> None:
    """Such an entry may be that of a successor, so it is used until the former one."""
    run(_returned, instances, state)


async def _states_meanwhile() -> None:
    endpoint_by_id = make_started_endpoints(2)
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        leaving = endpoint_by_id["engines-0"]
        former = leaving.endpoint
        list_entry(cluster, former, WITHOUT_START)
        leaving.is_leaving = True
        await cluster.load(RATE, 1.0)
        assert leaving.answers
        list_entry(cluster, former, {})
        since = now()
        replies = await cluster.load(RATE, 3.0, seed=2)
        assert not leaving.arrivals_since(since)
        assert share_served(replies) == 1


def test_what_an_endpoint_states_while_its_entry_lacks_the_start_is_kept() -> None:
    """It was kept for a process of unknown start, which the next entry ended."""
    run(_states_meanwhile)
