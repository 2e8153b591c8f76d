"""A part of prompts that crashes who answers it costs a few endpoints, not the fleet.

Requests with such a part arrive at all instances, no two alike. Sound requests have the
same first part, and some are in progress at each endpoint that crashes.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from cicadacourse.exchange import EndpointRequest
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_limits.test_limits_cluster import run

# The platform's ``contactMs``.
CONTACT_S = 3.0
ENDPOINTS = 18
MAX_LOST = 4
SECONDS = 20.0


def sound_parts(chooser: random.Random) -> tuple[str, ...]:
    """Returns parts that sound requests share, some often and some seldom."""
    return (f"first{chooser.randrange(3)}", f"s{int(chooser.paretovariate(0.6))}")


def bad_parts(*bad: str):
    """Returns a function that draws the parts of a request with a bad one."""

    def draw(chooser: random.Random) -> tuple[str, ...]:
        parts = [f"first{chooser.randrange(3)}", chooser.choice(bad)]
        if chooser.random() < 0.5:
            parts.append(f"s{int(chooser.paretovariate(0.6))}")
        return tuple(parts)

    return draw


def crash_on(cluster: GatewayCluster, *bad: str) -> None:
    """Lets each endpoint crash that begins to answer a prompt with a bad part."""

    def on_start(endpoint: SimulatedEndpoint, request: EndpointRequest) -> None:
        if set(bad) & set(request.caller.prompt.shared_part_ids):
            cluster.crash(endpoint)

    for endpoint in cluster.endpoint_by_id.values():
        endpoint.on_start = on_start


def count_arrivals(cluster: GatewayCluster, part: str, since: float) -> int:
    """Returns how many requests with a part have reached endpoints since then."""
    endpoints = [*cluster.former_endpoints, *cluster.endpoint_by_id.values()]
    return sum(
        part in arrival.request.caller.prompt.shared_part_ids
        for endpoint in endpoints
        for arrival in endpoint.arrivals
        if arrival.at >= since
    )


def served_share(replies: list) -> float:
    """Returns the share of requests that were answered with success."""
    return sum(item.status == 200 and item.is_complete for item in replies) / len(
        replies
    )


async def _bad_parts(instances: int, rate: float, bad: tuple[str, ...]) -> None:
    async with gateway_cluster(instances, make_endpoints(ENDPOINTS)) as cluster:
        crash_on(cluster, *bad)
        await cluster.load(20.0, 3.0, make_parts=sound_parts)
        sound, _ = await asyncio.gather(
            cluster.load(20.0, SECONDS, seed=2, make_parts=sound_parts),
            cluster.load(rate, SECONDS, seed=3, make_parts=bad_parts(*bad)),
        )
        lost = len(cluster.crashed_at)
        assert lost <= MAX_LOST * len(bad)
        assert served_share(sound) >= 0.95


@pytest.mark.parametrize(("instances", "rate"), [(1, 4.0), (6, 4.0), (6, 10.0)])
def test_a_bad_part_ends_fewer_than_five_endpoints(instances: int, rate: float) -> None:
    """Each instance sent such requests on and retried them, 58 endpoints ended."""
    run(_bad_parts, instances, rate, ("bad",))


def test_two_bad_parts_at_once_are_both_found() -> None:
    run(_bad_parts, 6, 6.0, ("bad", "worse"))


async def _after_the_fifth() -> None:
    async with gateway_cluster(6, make_endpoints(ENDPOINTS)) as cluster:
        crash_on(cluster, "bad")
        await cluster.load(20.0, 2.0, make_parts=sound_parts)
        await asyncio.gather(
            cluster.load(10.0, 60.0, seed=2, make_parts=sound_parts),
            cluster.load(4.0, 60.0, seed=3, make_parts=bad_parts("bad")),
        )
        assert cluster.crashed_at
        if len(cluster.crashed_at) >= 5:
            since = cluster.crashed_at[4] + CONTACT_S
            sent = count_arrivals(cluster, "bad", since)
            assert sent <= 3


def test_few_requests_with_a_bad_part_are_sent_in_a_minute() -> None:
    run(_after_the_fifth)
