"""A limit that an endpoint has named is kept while its registry entry is rewritten.

Another writer's entry, or a gap in the store, doesn't end what the process has named.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.util.clock import now
from tests.gateway_cluster import gateway_cluster
from tests.registry_entries import (
    GONE,
    IN_OTHER_POOL,
    WITHOUT_START,
    Rewrites,
    rewrite_entries,
)
from tests.simulated_endpoints import most_in_window
from tests.test_limits.test_limits_cluster import TOLD_S, allowed, run
from tests.test_placement.test_placement_leaving import make_started_endpoints

LOAD = 30.0
LIMIT = 1.0


async def _rewritten(instances: int, rewrites: Rewrites) -> None:
    endpoint_by_id = make_started_endpoints(3)
    for endpoint in endpoint_by_id.values():
        endpoint.limit = LIMIT
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        await cluster.load(LOAD, TOLD_S)
        since = now()
        load = asyncio.create_task(cluster.load(LOAD, 6.0, seed=2))
        entries = [item.endpoint for item in endpoint_by_id.values()]
        for _ in range(8):
            await rewrite_entries(cluster, entries, rewrites)
        await load
        for endpoint in endpoint_by_id.values():
            times = endpoint.arrivals_since(since)
            assert most_in_window(times) <= allowed(LIMIT)
            assert times


@pytest.mark.parametrize("instances", [1, 7])
@pytest.mark.parametrize("rewrites", [(GONE,), (IN_OTHER_POOL,), (GONE, WITHOUT_START)])
def test_a_limit_is_kept_while_the_endpoint_s_entry_is_rewritten(
    instances: int, rewrites: Rewrites
) -> None:
    run(_rewritten, instances, rewrites)
