"""An endpoint in need gets no more requests than it takes from all instances together.

The tests count what arrives at the endpoint, over every window of 4 s, while the limit
changes and instances fail.
"""

from __future__ import annotations

import asyncio
from typing import Any, Awaitable, Callable

import pytest

from cicadacourse.util.clock import now
from tests.gateway_cluster import gateway_cluster
from tests.simulated_endpoints import make_endpoints, most_in_window
from tests.simulated_loop import new_event_loop

WINDOW_S = 4.0
# The platform's ``contactMs``: the limit must be kept this long after it is named.
TOLD_S = 3.0
LOAD_S = 10.0


def allowed(limit: float) -> float:
    """Returns the requests that a limited endpoint may get in a window."""
    return 1.5 * limit * WINDOW_S + 5


def run(scenario: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Runs a scenario on a simulated clock."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(scenario(*arguments))


async def _limited_endpoint(instances: int, limit: float, rate: float) -> None:
    async with gateway_cluster(instances, make_endpoints(2)) as cluster:
        await cluster.load(rate, 1.0)
        limited = cluster.busiest_endpoint()
        limited.limit = limit
        await cluster.load(rate, TOLD_S)
        since = now()
        seconds = LOAD_S if instances < 80 else WINDOW_S
        replies = await cluster.load(rate, seconds, seed=2)
        times = limited.arrivals_since(since)
        assert most_in_window(times) <= allowed(limit)
        assert sum(reply.status == 200 for reply in replies) >= 0.98 * len(replies)


@pytest.mark.parametrize(
    ("instances", "limit", "rate"),
    [(1, 0.4, 30), (1, 3.0, 30), (7, 0.4, 30), (7, 1.0, 30), (7, 3.0, 60), (80, 1, 40)],
)
def test_the_sum_over_instances_keeps_to_the_limit(
    instances: int, limit: float, rate: float
) -> None:
    """Instances sent as many requests as before, since none read the limit."""
    run(_limited_endpoint, instances, limit, rate)


async def _busy_pool(instances: int, limit: float) -> None:
    endpoint_by_id = make_endpoints(4)
    for endpoint in endpoint_by_id.values():
        endpoint.event_s = 0.3
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        limited = endpoint_by_id["engines-1"]
        limited.limit = limit
        await cluster.load(32.0, TOLD_S)
        since = now()
        await cluster.load(32.0, LOAD_S, seed=2)
        times = limited.arrivals_since(since)
        assert most_in_window(times) <= allowed(limit)
        assert len(times) >= 0.7 * limit * LOAD_S - 1
        for instance in cluster.memory.services("placement"):
            assert not instance.health.is_ejected("engines-1", now())


@pytest.mark.parametrize(("instances", "limit"), [(1, 2.0), (7, 0.4), (7, 2.0)])
def test_a_limited_endpoint_is_used_up_to_its_limit(
    instances: int, limit: float
) -> None:
    """The others of its pool have too few slots for the load."""
    run(_busy_pool, instances, limit)


async def _whole_pool(instances: int) -> None:
    endpoint_by_id = make_endpoints(3)
    for endpoint in endpoint_by_id.values():
        endpoint.limit = 1.0
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        await cluster.load(30.0, TOLD_S)
        since, before = now(), len(cluster.replies)
        await cluster.load(30.0, LOAD_S, seed=2)
        for endpoint in endpoint_by_id.values():
            times = endpoint.arrivals_since(since)
            assert most_in_window(times) <= allowed(1.0)
            assert len(times) >= 0.7 * LOAD_S - 1
        refused = [item for item in cluster.replies[before:] if item.status == 429]
        assert len(refused) > 200
        assert all(item.ended_at - item.arrived < 0.5 for item in refused)


@pytest.mark.parametrize("instances", [1, 7])
def test_requests_that_a_whole_pool_cannot_take_in_time_are_refused_at_once(
    instances: int,
) -> None:
    run(_whole_pool, instances)


async def _changing_limit() -> None:
    async with gateway_cluster(7, make_endpoints(2)) as cluster:
        await cluster.load(30.0, 1.0)
        limited = cluster.busiest_endpoint()
        for limit in (8.0, 1.0, 4.0, None):
            limited.limit = limit
            await cluster.load(30.0, TOLD_S)
            since = now()
            await cluster.load(30.0, 6.0, seed=3)
            times = limited.arrivals_since(since)
            if limit is not None:
                assert most_in_window(times) <= allowed(limit)
        for app in cluster.memory.applications:
            assert app.get("limits").limit_of(limited.endpoint) is None


def test_a_limit_that_is_lowered_raised_and_ended_is_followed_everywhere() -> None:
    run(_changing_limit)


async def _several_limited() -> None:
    async with gateway_cluster(7, make_endpoints(6)) as cluster:
        endpoints = list(cluster.endpoint_by_id.values())
        for endpoint in endpoints[:4]:
            endpoint.limit = 0.5
        await cluster.load(40.0, TOLD_S)
        since = now()
        replies = await cluster.load(40.0, LOAD_S, seed=2)
        for endpoint in endpoints[:4]:
            assert most_in_window(endpoint.arrivals_since(since)) <= allowed(0.5)
        assert sum(reply.status == 200 for reply in replies) >= 0.98 * len(replies)


def test_several_endpoints_are_limited_at_once() -> None:
    run(_several_limited)


async def _after_idle_time() -> None:
    async with gateway_cluster(7, make_endpoints(1)) as cluster:
        (limited,) = cluster.endpoint_by_id.values()
        limited.limit = 2.0
        await cluster.load(5.0, TOLD_S)
        await asyncio.sleep(20.0)
        since = now()
        burst = [cluster.send(f"n{number % 7}") for number in range(60)]
        replies = await asyncio.gather(*burst)
        assert most_in_window(limited.arrivals_since(since)) <= allowed(2.0)
        assert sum(reply.status == 200 for reply in replies) >= 4


def test_a_burst_after_idle_time_keeps_to_the_limit() -> None:
    run(_after_idle_time)


async def _calls_and_long_prompts() -> None:
    endpoint_by_id = {**make_endpoints(3), **make_endpoints(2, "plain")}
    async with gateway_cluster(7, endpoint_by_id) as cluster:
        limited = [endpoint_by_id["engines-0"], endpoint_by_id["plain-0"]]
        for endpoint in limited:
            endpoint.limit = 1.0
        await cluster.load(20.0, TOLD_S)
        await cluster.load(20.0, TOLD_S, path="look")
        since = now()
        await asyncio.gather(
            cluster.load(10.0, LOAD_S, seed=2, path="look"),
            cluster.load(10.0, LOAD_S, seed=3, path="book"),
            cluster.load(10.0, LOAD_S, seed=4),
            cluster.load(2.0, LOAD_S, seed=5, tokens=150_000),
        )
        for endpoint in limited:
            assert most_in_window(endpoint.arrivals_since(since)) <= allowed(1.0)
        parts = [
            helper.address
            for endpoint in endpoint_by_id.values()
            for arrival in endpoint.arrivals
            if arrival.at >= since
            for helper in arrival.request.helpers
        ]
        assert parts
        assert endpoint_by_id["engines-0"].endpoint.address not in parts


def test_calls_retries_and_long_prompts_count_and_give_no_parts_to_it() -> None:
    run(_calls_and_long_prompts)
