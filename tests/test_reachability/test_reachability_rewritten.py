"""A process whose registry entry is rewritten is not taken for one that has ended.

What instances tell each other of an end ejects the endpoint everywhere and blames the
requests that it was running.
"""

from __future__ import annotations

import pytest

from cicadacourse.reachability._messages import CheckEndpoint
from tests.gateway_cluster import gateway_cluster
from tests.registry_entries import (
    GONE,
    IN_OTHER_POOL,
    WITHOUT_START,
    Rewrites,
    list_entry,
)
from tests.test_placement.test_placement_leaving import make_started_endpoints
from tests.test_placement.test_placement_retry_after import run


async def _running(rewrites: Rewrites) -> None:
    endpoint_by_id = make_started_endpoints(2)
    async with gateway_cluster(2, endpoint_by_id) as cluster:
        endpoint = endpoint_by_id["engines-0"].endpoint
        for changes in rewrites:
            list_entry(cluster, endpoint, changes)
        client = cluster.memory.get("n0", "endpoint_caller")
        assert not await client.is_process_gone(endpoint)
        checked = await cluster.memory.get("n1", "peers").call(
            cluster.memory.address("n0"),
            CheckEndpoint(
                endpoint_id=endpoint.id,
                process_key=endpoint.process_key,
                is_refused=True,
            ),
            1.0,
        )
        assert not checked.unwrap().is_refused


@pytest.mark.parametrize(
    "rewrites", [(WITHOUT_START,), (IN_OTHER_POOL,), (GONE, WITHOUT_START)]
)
def test_a_running_process_has_not_ended_as_its_entry_is_rewritten(
    rewrites: Rewrites,
) -> None:
    run(_running, rewrites)
