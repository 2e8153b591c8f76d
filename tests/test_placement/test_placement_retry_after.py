"""An endpoint that refuses with a time gets no request from the instance until then.

The tests count what arrives at each endpoint from each instance that it has refused,
and how requests fare meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import Any, Awaitable, Callable

import attrs
import pytest

from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import ResponseHead
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.simulated_loop import new_event_loop
from tests.test_gateway.test_gateway_histories import FakeReply

RETRY_AFTER_S = 5.0
# From half a second after a refusal on, at most two requests may arrive.
GRACE_S = 0.5
MAX_ARRIVALS = 2
SEND_PERIOD_S = 0.03
# Requests may wait for an endpoint that returns this soon.
SOON_S = 1.0
# A part of the retry budget is withheld for so long after the start.
FIRST_WINDOW_S = 10.5
# A refusal that needs no wait is sent within this time.
AT_ONCE_S = 0.2


def run(scenario: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Runs a scenario on a simulated clock."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(scenario(*arguments))


def most_arrivals_while_unwanted(endpoint: SimulatedEndpoint) -> int:
    """Returns the largest number of requests that an instance sent too early."""
    return max(
        (
            sum(
                arrival.instance == answer.instance
                and answer.at + GRACE_S < arrival.at
                and arrival.at < answer.at + answer.head.retry_after_s
                for arrival in endpoint.arrivals
            )
            for answer in endpoint.answers
            if answer.head.retry_after_s is not None
        ),
        default=0,
    )


def check(cluster: GatewayCluster) -> None:
    """Checks all endpoints of a cluster."""
    for endpoint in cluster.endpoint_by_id.values():
        assert most_arrivals_while_unwanted(endpoint) <= MAX_ARRIVALS


def share_served(replies: list[FakeReply]) -> float:
    """Returns the share of requests that were served."""
    return sum(reply.status == 200 for reply in replies) / len(replies)


def took_s(reply: FakeReply) -> float:
    """Returns the seconds from the arrival of a request to the end of its response."""
    return reply.ended_at - reply.arrived


async def send_to(
    cluster: GatewayCluster, instances: list[str], seconds: float, path: str
) -> list[FakeReply]:
    """Sends requests to each of some instances at a steady rate, and waits."""
    until = now() + seconds
    tasks = []
    while now() < until:
        tasks += [asyncio.create_task(cluster.send(item, path)) for item in instances]
        await asyncio.sleep(SEND_PERIOD_S)
    return list(await asyncio.gather(*tasks))


async def _whole_pool(instances: int, seconds: float, path: str) -> None:
    pool = "engines" if path == "ask" else "plain"
    endpoint_by_id = make_endpoints(3, pool)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        for endpoint in endpoint_by_id.values():
            endpoint.retry_after_s = RETRY_AFTER_S
        replies = await send_to(cluster, ["n0", "n1", "n2"][:instances], seconds, path)
        check(cluster)
        assert share_served(replies) == 0
        returns_at = min(
            item.answers[0].at + RETRY_AFTER_S for item in endpoint_by_id.values()
        )
        early = [item for item in replies if item.arrived < returns_at - SOON_S]
        assert early
        assert all(took_s(item) <= AT_ONCE_S for item in early)
        assert {reply.status for reply in replies} == {503}
        if instances == 1:
            last = early[-1]
            assert last.error.retry_after_s >= returns_at - last.ended_at
            assert last.error.retry_after_s <= RETRY_AFTER_S


@pytest.mark.parametrize(
    ("instances", "seconds", "path"),
    [(1, 4.5, "ask"), (1, 4.5, "book"), (6, 4.5, "look"), (6, 4.5, "ask")]
    + [(80, 0.8, "look")],
)
def test_a_pool_that_wants_no_requests_gets_none(
    instances: int, seconds: float, path: str
) -> None:
    """The time was ignored, and each request was sent."""
    run(_whole_pool, instances, seconds, path)


async def _some_of_a_pool(instances: int, unwilling: int) -> None:
    endpoint_by_id = make_endpoints(4)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        for endpoint in list(endpoint_by_id.values())[:unwilling]:
            endpoint.retry_after_s = RETRY_AFTER_S
        replies = await cluster.load(30.0, 4.5)
        check(cluster)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize("unwilling", [1, 3])
def test_the_other_endpoints_of_a_pool_serve_meanwhile(
    instances: int, unwilling: int
) -> None:
    """Only up to two fifths of a pool were left out, whatever they asked for."""
    run(_some_of_a_pool, instances, unwilling)


async def _return() -> None:
    endpoint_by_id = make_endpoints(2, "plain")
    async with gateway_cluster(6, endpoint_by_id) as cluster:
        for endpoint in endpoint_by_id.values():
            endpoint.retry_after_s = 3.0
        await cluster.load(30.0, 1.0, path="look")
        for endpoint in endpoint_by_id.values():
            endpoint.retry_after_s = None
        await asyncio.sleep(3.5)
        replies = await cluster.load(30.0, 2.0, path="look")
        check(cluster)
        assert share_served(replies) == 1


def test_an_endpoint_is_used_again_once_its_time_is_over() -> None:
    run(_return)


async def _short_wait(path: str) -> None:
    pool = "engines" if path == "ask" else "plain"
    (endpoint,) = make_endpoints(1, pool).values()
    async with gateway_cluster(1, {endpoint.endpoint.id: endpoint}) as cluster:
        endpoint.retry_after_s = 0.7
        first = asyncio.create_task(cluster.send("n0", path))
        await asyncio.sleep(0.1)
        endpoint.retry_after_s = None
        replies = await asyncio.gather(
            first, *(cluster.send("n0", path) for _ in range(6))
        )
        check(cluster)
        assert share_served(replies) == 1
        assert max(took_s(reply) for reply in replies) < 1.2


@pytest.mark.parametrize("path", ["look", "book", "ask"])
def test_requests_wait_for_an_endpoint_that_returns_soon(path: str) -> None:
    """A refusal would make the caller wait as long and cost it one of its attempts."""
    run(_short_wait, path)


async def _queued() -> None:
    (endpoint,) = make_endpoints(1, "plain").values()
    endpoint.work_s = 1.0
    async with gateway_cluster(1, {endpoint.endpoint.id: endpoint}) as cluster:
        in_progress = [
            asyncio.create_task(cluster.send("n0", "book"))
            for _ in range(endpoint.endpoint.slots)
        ]
        await asyncio.sleep(0.1)
        queued = [asyncio.create_task(cluster.send("n0", "book")) for _ in range(5)]
        await asyncio.sleep(0.1)
        endpoint.retry_after_s = 30.0
        replies = await asyncio.gather(*in_progress, *queued)
        refused_at = endpoint.answers[0].at
        check(cluster)
        assert {reply.status for reply in replies} == {503}
        assert all(reply.ended_at <= refused_at + AT_ONCE_S for reply in replies)
        assert all(29.0 < reply.error.retry_after_s < 36.0 for reply in replies)


def test_queued_requests_are_refused_once_no_endpoint_returns_in_time() -> None:
    run(_queued)


async def _repeated(times_s: tuple[float, float]) -> None:
    (endpoint,) = make_endpoints(1, "plain").values()
    endpoint.work_s = 0.5
    async with gateway_cluster(1, {endpoint.endpoint.id: endpoint}) as cluster:
        requests = []
        for _ in times_s:
            requests.append(asyncio.create_task(cluster.send("n0", "book")))
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.25)
        for endpoint.retry_after_s in times_s:
            await asyncio.sleep(0.1)
        await asyncio.gather(*requests)
        endpoint.retry_after_s = None
        endpoint.work_s = 0.03
        stated = {item.head.retry_after_s for item in endpoint.answers}
        assert stated == set(times_s)
        await send_to(cluster, ["n0"], 5.0, "look")
        check(cluster)


@pytest.mark.parametrize("times_s", [(4.0, 1.5), (1.5, 4.0)])
def test_the_longest_of_several_times_holds(times_s: tuple[float, float]) -> None:
    run(_repeated, times_s)


def replace_process(cluster: GatewayCluster, endpoint: SimulatedEndpoint) -> None:
    """Starts another process of an endpoint under the same id and address."""
    former = endpoint.endpoint
    endpoint.endpoint = attrs.evolve(former, started_ms=(former.started_ms or 0) + 7)
    for app in cluster.memory.applications:
        app.get("catalog").registry.put(endpoint.endpoint)
        app.events.emit(ENDPOINT_CHANGED, former)
        app.events.emit(ENDPOINT_CHANGED, endpoint.endpoint)


async def _restarted() -> None:
    endpoint_by_id = make_endpoints(1, "plain")
    (endpoint,) = endpoint_by_id.values()
    async with gateway_cluster(3, endpoint_by_id) as cluster:
        endpoint.retry_after_s = 60.0
        await cluster.load(20.0, 1.0, path="look")
        endpoint.retry_after_s = None
        replace_process(cluster, endpoint)
        replies = await cluster.load(20.0, 2.0, path="look")
        assert share_served(replies) == 1


def test_another_process_of_an_endpoint_is_not_held_to_the_time() -> None:
    run(_restarted)


async def _misdirected() -> None:
    endpoint_by_id = make_endpoints(2, "plain")
    endpoint = endpoint_by_id["plain-0"]
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        endpoint.is_replaced = True
        endpoint.is_leaving = True
        await cluster.load(20.0, 1.0, path="look")
        endpoint.is_replaced = endpoint.is_leaving = False
        assert endpoint.answers
        since = now()
        await cluster.load(20.0, 2.0, path="look")
        assert endpoint.arrivals_since(since)


def test_another_endpoint_at_an_address_does_not_speak_for_the_expected_one() -> None:
    run(_misdirected)


async def _blames_a_helper() -> None:
    endpoint_by_id = make_endpoints(2, "engines")
    first, second = endpoint_by_id.values()
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        first.retry_after_s = RETRY_AFTER_S
        first.fault_address = second.endpoint.address
        replies = await cluster.load(20.0, 3.0)
        check(cluster)
        assert share_served(replies) >= 0.98
        assert second.arrivals


def test_the_endpoint_that_answers_is_the_one_that_wants_no_requests() -> None:
    """It may blame a helper for the refusal, but the time is its own."""
    run(_blames_a_helper)


async def _helpers() -> None:
    endpoint_by_id = make_endpoints(4)
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        await cluster.load(40.0, 0.5)
        unwilling = cluster.busiest_endpoint()
        unwilling.retry_after_s = RETRY_AFTER_S
        await cluster.load(40.0, 0.5)
        assert unwilling.answers[-1].head.retry_after_s
        since = now()
        await cluster.load(2.0, 3.0, tokens=150_000)
        helpers = {
            helper.address
            for endpoint in endpoint_by_id.values()
            for arrival in endpoint.arrivals
            if arrival.at >= since
            for helper in arrival.request.helpers
        }
        assert helpers
        assert unwilling.endpoint.address not in helpers
        check(cluster)


def test_an_engine_that_wants_no_requests_prefills_no_parts() -> None:
    run(_helpers)


async def _placed() -> None:
    endpoint_by_id = make_endpoints(6)
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        placer = cluster.memory.get("n0", "placement")
        confirm, unwilling = placer._is_confirmed, set()

        async def decline_and_confirm(waiter, placement):
            is_confirmed = await confirm(waiter, placement)
            if not unwilling:
                for endpoint in placement.helpers[:2]:
                    unwilling.add(endpoint.address)
                    head = ResponseHead(503, (), retry_after_s=RETRY_AFTER_S)
                    placer._eligibility.declines.observe(endpoint, head)
            return is_confirmed

        placer._is_confirmed = decline_and_confirm
        reply = await cluster.send("n0", tokens=150_000)
        (arrival,) = (
            item for endpoint in endpoint_by_id.values() for item in endpoint.arrivals
        )
        helpers = {item.address for item in arrival.request.helpers}
        assert reply.status == 200
        assert len(unwilling) == 2
        assert not unwilling & {*helpers, arrival.request.endpoint.address}


def test_a_prompt_is_placed_again_if_a_helper_declines_before_it_is_sent() -> None:
    run(_placed)


async def _hedged(others: int) -> None:
    endpoint_by_id = make_endpoints(2 + others, "plain")
    silent, unwilling, *_ = endpoint_by_id.values()
    async with gateway_cluster(1, endpoint_by_id) as cluster:
        unwilling.retry_after_s = RETRY_AFTER_S
        await asyncio.gather(*(cluster.send("n0", "look") for _ in range(6)))
        assert unwilling.answers
        silent.fall_silent(2.0)
        replies = await send_to(cluster, ["n0"], 0.2, "look")
        check(cluster)
        assert silent.arrivals
        assert share_served(replies) == 1
        waited_s = max(took_s(reply) for reply in replies)
        assert waited_s > 1.5 if not others else waited_s < 1.0


@pytest.mark.parametrize("others", [0, 1])
def test_a_hedge_is_not_sent_to_an_endpoint_that_wants_no_requests(others: int) -> None:
    """Without another endpoint, the silent one is awaited."""
    run(_hedged, others)


async def _many_in_need(instances: int, endpoints: int, unwilling: int) -> None:
    endpoint_by_id = make_endpoints(endpoints)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        await asyncio.sleep(FIRST_WINDOW_S)
        for endpoint in list(endpoint_by_id.values())[:unwilling]:
            endpoint.retry_after_s = RETRY_AFTER_S
        replies = await cluster.load(30.0 * (endpoints - unwilling), 4.5)
        check(cluster)
        assert share_served(replies) >= 0.98


@pytest.mark.parametrize(
    ("instances", "endpoints", "unwilling"), [(40, 4, 3), (6, 9, 7), (40, 9, 7)]
)
def test_no_request_is_refused_as_it_tries_endpoints_that_others_know_to_decline(
    instances: int, endpoints: int, unwilling: int
) -> None:
    """Each instance tried them itself until its part of the retry budget was used."""
    run(_many_in_need, instances, endpoints, unwilling)
