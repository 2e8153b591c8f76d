"""An endpoint whose process is known to have ended is not used, however many have.

The cap on ejections kept some of them in use, so that requests were sent to processes
that could not answer.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_cluster import gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_limits.test_limits_cluster import run

# How soon the end of a process is known to all instances.
KNOWN_S = 0.4


async def _most_ended(instances: int) -> None:
    async with gateway_cluster(instances, make_endpoints(4)) as cluster:
        endpoints = list(cluster.endpoint_by_id.values())
        for endpoint in endpoints:
            endpoint.work_s = 0.6
        tasks = [
            asyncio.create_task(cluster.send("n0", body=str(number).encode()))
            for number in range(32)
        ]
        await asyncio.sleep(0.3)
        assert all(item.in_progress for item in endpoints)
        for endpoint in endpoints[:3]:
            cluster.crash(endpoint)
        await asyncio.sleep(KNOWN_S)
        for placer in cluster.memory.services("placement"):
            usable = placer.usable_endpoints("engines")
            assert [item.id for item in usable] == [endpoints[3].endpoint.id]
        await asyncio.gather(*tasks)


@pytest.mark.parametrize("instances", [1, 6])
def test_no_instance_uses_endpoints_that_have_ended(instances: int) -> None:
    run(_most_ended, instances)
