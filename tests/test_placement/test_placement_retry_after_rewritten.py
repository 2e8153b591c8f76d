"""An endpoint that declines requests gets none while its entry is rewritten.

Another writer's entry says nothing about the process that has stated for how long it
wants no requests.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, SimulatedEndpoint, gateway_cluster
from tests.test_placement.test_placement_leaving import make_started_endpoints
from tests.test_placement.test_placement_leaving_rewritten import (
    GONE,
    IN_OTHER_POOL,
    WITH_OTHER_START,
    WITHOUT_START,
    Rewrites,
    rewrite_entries,
)
from tests.test_placement.test_placement_retry_after import (
    RETRY_AFTER_S,
    check,
    run,
    share_served,
)

RATE = 40.0


async def let_most_decline(cluster: GatewayCluster) -> list[SimulatedEndpoint]:
    """Lets the busiest endpoints but one state that they decline for a time."""
    await cluster.load(RATE, 1.0, seed=3)
    endpoints = cluster.endpoint_by_id.values()
    declining = sorted(endpoints, key=lambda item: -len(item.arrivals))[:-1]
    for endpoint in declining:
        endpoint.retry_after_s = RETRY_AFTER_S
    await cluster.load(RATE, 0.6)
    for endpoint in declining:
        endpoint.retry_after_s = None
    return declining


def informed_instances(endpoint: SimulatedEndpoint) -> set[str]:
    """Returns the names of the instances that an endpoint has asked for a rest."""
    answers = endpoint.answers
    return {item.instance for item in answers if item.head.retry_after_s is not None}


async def _rewritten(instances: int, rewrites: Rewrites) -> None:
    async with gateway_cluster(instances, make_started_endpoints(4)) as cluster:
        declining = await let_most_decline(cluster)
        load = asyncio.create_task(cluster.load(RATE, 3.0, seed=2))
        entries = [item.endpoint for item in declining]
        for _ in range(3):
            await rewrite_entries(cluster, entries, rewrites)
        replies = await load
        check(cluster)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize(
    "rewrites",
    [
        (WITHOUT_START,),
        (IN_OTHER_POOL,),
        (GONE, WITHOUT_START),
        (IN_OTHER_POOL, GONE, WITHOUT_START, IN_OTHER_POOL),
    ],
)
def test_an_endpoint_that_declines_gets_no_requests_while_its_entry_is_rewritten(
    instances: int, rewrites: Rewrites
) -> None:
    """It was forgotten for how long it wants none, so that it got what it declined."""
    run(_rewritten, instances, rewrites)


async def _returned(instances: int) -> None:
    async with gateway_cluster(instances, make_started_endpoints(4)) as cluster:
        declining = await let_most_decline(cluster)
        informed = [informed_instances(item) for item in declining]
        entries = [item.endpoint for item in declining]
        await rewrite_entries(cluster, entries, (WITH_OTHER_START,))
        since = now()
        await cluster.load(RATE, 2.0, seed=2)
        for endpoint, names in zip(declining, informed):
            late = [item for item in endpoint.arrivals if item.at >= since]
            assert not names & {item.instance for item in late}


@pytest.mark.parametrize("instances", [1, 6])
def test_an_endpoint_that_declines_gets_none_after_an_entry_with_another_start(
    instances: int,
) -> None:
    """Such an entry may be that of a successor, so it is used until the former one."""
    run(_returned, instances)
