"""An endpoint in need gets no more requests than it takes from all instances together.

The tests count what arrives at the endpoint, over every window of 4 s, while the limit
changes and instances fail.
"""

from __future__ import annotations

import asyncio
from typing import Any, Awaitable, Callable

import looptime
import pytest

from cicadacourse.util.clock import now
from tests.gateway_cluster import gateway_cluster, make_endpoints, most_in_window

WINDOW_S = 4.0
# The platform's ``contactMs``: the limit must be kept this long after it is named.
TOLD_S = 3.0
LOAD_S = 10.0


def allowed(limit: float) -> float:
    """Returns the requests that a limited endpoint may get in a window."""
    return 1.5 * limit * WINDOW_S + 5


def run(scenario: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Runs a scenario on a simulated clock."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(scenario(*arguments))


async def _limited_endpoint(instances: int, limit: float, rate: float) -> None:
    async with gateway_cluster(instances, make_endpoints(4)) as cluster:
        await cluster.load(rate, 1.0)
        limited = cluster.busiest_endpoint()
        limited.limit = limit
        await cluster.load(rate, TOLD_S)
        since = now()
        seconds = LOAD_S if instances < 80 else WINDOW_S
        replies = await cluster.load(rate, seconds, seed=2)
        times = limited.arrivals_since(since)
        assert most_in_window(times) <= allowed(limit)
        assert len(times) >= 0.6 * limit * seconds - 1
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
