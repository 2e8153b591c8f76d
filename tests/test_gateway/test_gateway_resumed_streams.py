"""A stream that breaks off late is resumed at another engine, as an early one is.

Placement took the time that a caller waits for its first event for the time that is
left to resume the stream, so none was resumed later than that after its arrival.
"""

from __future__ import annotations

import asyncio

import looptime
import pytest

from tests.gateway_cluster import gateway_cluster, make_endpoints
from tests.test_gateway.test_gateway_histories import FakeReply

EVENTS = 80
ENGINES = 3


async def _break_off_after(at_s: float) -> FakeReply:
    """Returns the reply to a stream whose engine ends some time after it was sent."""
    endpoint_by_id = make_endpoints(ENGINES)
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
        endpoint.event_s = 0.01 if at_s < 1.0 else 0.03
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        task = asyncio.create_task(cluster.send("n0", timeout_s=10.0))
        await asyncio.sleep(at_s)
        serving = cluster.busiest_endpoint()
        serving.is_down = True
        for endpoint in endpoint_by_id.values():
            endpoint.event_s = 0.001
        return await task


@pytest.mark.parametrize("at_s", [0.5, 2.2])
def test_a_stream_is_resumed_however_long_ago_it_arrived(at_s: float) -> None:
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        reply = runner.run(_break_off_after(at_s))
    assert reply.is_complete
