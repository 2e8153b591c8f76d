"""A link that refuses connections doesn't pass for the end of an endpoint's process.

An instance that was cut off while a request waited for its first event took the
refused connection for a crash. It blamed the request, and all others ejected endpoints
that ran.
"""

from __future__ import annotations

import asyncio
from typing import Sequence

import pytest

from cicadacourse.events import ENDPOINT_ENDED
from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_limits.test_limits_cluster import run

# How soon the end of a process is known to all instances.
KNOWN_S = 0.3


def blamed_keys(cluster: GatewayCluster) -> set[str]:
    """Returns what any instance blames for a crash."""
    return {
        key
        for evidence in cluster.memory.services("evidence")
        for kind in ("request-crash", "part-crash")
        for key in evidence.keys(kind)
    }


def record_ended(cluster: GatewayCluster) -> list[tuple[float, str]]:
    """Returns a list that gets the time and the id of each end that is announced."""
    ended: list[tuple[float, str]] = []
    for app in cluster.memory.applications:
        app.events.connect(
            ENDPOINT_ENDED, lambda endpoint: ended.append((now(), endpoint.id))
        )
    return ended


async def _cut_off(
    instances: int, cut_off: Sequence[str], fault: LinkFault, loss: float
) -> None:
    async with gateway_cluster(instances, make_endpoints(4)) as cluster:
        ended = record_ended(cluster)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.work_s = 0.6
        tasks = [
            asyncio.create_task(cluster.send(name, body=name.encode()))
            for name in cut_off
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        cluster.lose_messages(loss)
        cluster.cut(cut_off, fault, seconds=3.0)
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        assert not ended
        assert not blamed_keys(cluster)


@pytest.mark.parametrize("fault", list(LinkFault))
@pytest.mark.parametrize(
    ("instances", "cut_off"),
    [(2, ["n0"]), (6, ["n0"]), (6, ["n0", "n3"]), (6, ["n0", "n1", "n2", "n3"])],
)
def test_a_link_that_is_cut_is_not_the_end_of_a_process(
    instances: int, cut_off: Sequence[str], fault: LinkFault
) -> None:
    run(_cut_off, instances, cut_off, fault, 0.0)


def test_a_link_that_is_cut_beside_lost_messages_is_not_the_end_of_a_process() -> None:
    run(_cut_off, 6, ["n0", "n3"], LinkFault.RESET, 0.03)


async def _crash(instances: int, silent: Sequence[str], cut_off: Sequence[str]) -> None:
    async with gateway_cluster(instances, make_endpoints(4)) as cluster:
        ended = record_ended(cluster)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.work_s = 0.6
        task = asyncio.create_task(cluster.send("n0", body=b"x"))
        await asyncio.sleep(0.3)
        for name in silent:
            cluster.freeze(name)
        cluster.cut(cut_off, LinkFault.HANG)
        endpoint = cluster.busiest_endpoint()
        crashed_at = now()
        cluster.crash(endpoint)
        await asyncio.sleep(KNOWN_S)
        assert blamed_keys(cluster)
        awake = instances - len(silent)
        assert len([id for _, id in ended if id == endpoint.endpoint.id]) == awake
        assert all(at <= crashed_at + KNOWN_S for at, _ in ended)
        for name in silent:
            cluster.thaw(name)
        await task


@pytest.mark.parametrize(
    ("instances", "silent", "cut_off"),
    [
        (1, [], []),
        (2, [], []),
        (6, [], []),
        (6, ["n3"], []),
        (6, [], ["n3", "n4"]),
    ],
)
def test_the_end_of_a_process_is_known_as_soon_as_before(
    instances: int, silent: Sequence[str], cut_off: Sequence[str]
) -> None:
    run(_crash, instances, silent, cut_off)
