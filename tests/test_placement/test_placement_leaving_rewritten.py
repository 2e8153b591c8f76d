"""An endpoint that stated that it leaves gets no request if its entry is rewritten.

Another writer may have written it, without the start of the process or with another
pool. It says nothing about the process that leaves, which serves on under its id.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import pytest

from cicadacourse.catalog import Endpoint
from cicadacourse.feed import RegistryFeed
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, SimulatedEndpoint, gateway_cluster
from tests.test_placement.test_placement_leaving import TOLD_S, make_started_endpoints
from tests.test_placement.test_placement_retry_after import run, share_served

# How long a foreign entry stands until the process writes its own again, in seconds.
REWRITE_S = 0.3
GONE = None
WITHOUT_START = {"started_ms": None}
IN_OTHER_POOL = {"pool": "plain"}
WITH_OTHER_START = {"started_ms": 7_000}

# The changes of the former entry that follow each other; ``GONE`` removes it, as an
# entry does that can't be read.
Rewrites = tuple[dict[str, Any] | None, ...]


def list_entry(
    cluster: GatewayCluster, former: Endpoint, changes: dict[str, Any] | None
) -> None:
    """Lets all instances read an entry that differs from the former one."""
    for app in cluster.memory.applications:
        feed = RegistryFeed(app, app.get("catalog"), hold_s=0.0)
        if changes is None:
            feed.remove(former.id, "its entry can't be read")
        else:
            feed.put(attrs.evolve(former, **changes))


async def rewrite_entries(
    cluster: GatewayCluster, endpoints: list[Endpoint], rewrites: Rewrites
) -> None:
    """Lists each of some entries, and the former ones in the end."""
    for changes in (*rewrites, {}):
        for endpoint in endpoints:
            list_entry(cluster, endpoint, changes)
        await asyncio.sleep(REWRITE_S)


async def let_most_leave(
    cluster: GatewayCluster, rate: float
) -> list[SimulatedEndpoint]:
    """Lets the busiest endpoints but one leave; returns once all instances know it.

    :param rate: the requests per second meanwhile.
    """
    await cluster.load(rate, 1.0, seed=3)
    endpoints = cluster.endpoint_by_id.values()
    leaving = sorted(endpoints, key=lambda item: -len(item.arrivals))[:-1]
    for endpoint in leaving:
        endpoint.is_leaving = True
    await cluster.load(rate, 2.0)
    await asyncio.sleep(TOLD_S)
    return leaving


async def _rewritten(instances: int, rewrites: Rewrites) -> None:
    endpoint_by_id = make_started_endpoints(4)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        rate, seconds = (40.0, 3.0) if instances < 40 else (80.0, 1.5)
        leaving = await let_most_leave(cluster, rate)
        since = now()
        load = asyncio.create_task(cluster.load(rate, seconds, seed=2))
        former = [item.endpoint for item in leaving]
        await rewrite_entries(cluster, former, rewrites)
        replies = await load
        assert not any(item.arrivals_since(since) for item in leaving)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize("instances", [1, 6, 40])
@pytest.mark.parametrize(
    "rewrites",
    [
        (WITHOUT_START,),
        (IN_OTHER_POOL,),
        (GONE, WITHOUT_START),
        (IN_OTHER_POOL, GONE, WITHOUT_START, IN_OTHER_POOL),
    ],
)
def test_an_endpoint_that_leaves_gets_no_request_while_its_entry_is_rewritten(
    instances: int, rewrites: Rewrites
) -> None:
    """Another entry was taken for another process, which had said nothing."""
    run(_rewritten, instances, rewrites)


async def _returned(instances: int) -> None:
    endpoint_by_id = make_started_endpoints(4)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        leaving = await let_most_leave(cluster, 40.0)
        former = [item.endpoint for item in leaving]
        await rewrite_entries(cluster, former, (WITH_OTHER_START,))
        since = now()
        replies = await cluster.load(40.0, 3.0, seed=2)
        assert not any(item.arrivals_since(since) for item in leaving)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize("instances", [1, 6])
def test_an_endpoint_that_leaves_gets_none_after_an_entry_with_another_start(
    instances: int,
) -> None:
    """Such an entry may be that of a successor, so it is used until the former one."""
    run(_returned, instances)


async def _states_meanwhile() -> None:
    endpoint_by_id = make_started_endpoints(2)
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        leaving = endpoint_by_id["engines-0"]
        former = leaving.endpoint
        list_entry(cluster, former, WITHOUT_START)
        leaving.is_leaving = True
        await cluster.load(40.0, 1.0)
        assert leaving.answers
        list_entry(cluster, former, {})
        since = now()
        replies = await cluster.load(40.0, 3.0, seed=2)
        assert not leaving.arrivals_since(since)
        assert share_served(replies) == 1


def test_what_an_endpoint_states_while_its_entry_lacks_the_start_is_kept() -> None:
    """It was kept for a process of unknown start, which the next entry ended."""
    run(_states_meanwhile)
