"""A stream that breaks off late is resumed at another engine, as an early one is.

Placement took the time that a caller waits for its first event for the time that is
left to resume the stream, so none was resumed later than that after its arrival.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.exchange import CallerRequest, Prompt
from cicadacourse.gateway._admission import AdmittedRequest
from tests.gateway_cluster import gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.simulated_loop import new_event_loop
from tests.test_gateway.test_gateway_histories import CATALOG, HOST, FakeReply

REQUEST = CallerRequest(
    id="r",
    method="POST",
    host=HOST,
    target="/ask/x",
    key=None,
    arrived=0.0,
    timeout_s=None,
    last_event_id=None,
    prompt=Prompt("m", 4000, 184),
    headers=(),
    body=b"",
)
ROUTE = CATALOG.routes[0]
ADMITTED = AdmittedRequest(REQUEST, ROUTE, None, deadline=30.0, catalog_version=1)
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
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        reply = runner.run(_break_off_after(at_s))
    assert reply.is_complete


def test_the_time_to_resume_a_stream_counts_from_its_last_event() -> None:
    """Its caller waits for the next event for as long as for the first one."""
    idle_s = ADMITTED.caller_idle_timeout_s
    first = ADMITTED.placement_request("engines", 1.0, frozenset())
    assert first.time_left_s == idle_s - 1.0
    resumed = ADMITTED.placement_request("engines", 9.0, frozenset(), 8.5)
    assert resumed.time_left_s == idle_s - 0.5
    last = ADMITTED.placement_request("engines", 29.0, frozenset(), 29.0)
    assert last.time_left_s == 1.0
