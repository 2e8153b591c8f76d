"""An endpoint that falls silent and goes on costs no caller its response.

An instance gave an exchange up after a second without data, before it knew whether
another endpoint could take the request. Streams were cut where the retry budget, the
queue or a limit then denied a retry. A connection may also stay silent for good, so a
second endpoint must still be tried; the first one to send data is the source.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import re
from typing import Any, Awaitable, Callable, Sequence

import pytest
from returns.result import Failure

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import ResponseHead
from cicadacourse.gateway._admission import CALLER_IDLE_TIMEOUT_S, SHORT_SILENCE_S
from cicadacourse.placement._budget import USABLE_SHARE
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_connector import SimulatedConnector
from tests.simulated_endpoints import FOR_GOOD, SimulatedEndpoint, make_endpoints
from tests.simulated_loop import new_event_loop
from tests.test_gateway.test_gateway_histories import (
    FakeReply,
    ScheduledRequest,
    make_app,
    serve,
    with_connector,
)

SILENCE_S = 1.2
# The hedging delays of the routes "ask" and "look" of the catalog.
STREAM_DELAY_S = 1.0
CALL_DELAY_S = 0.66
EVENTS = 12
# The slack of which one retry may be used.
ONE_RETRY_SLACK = 1.0 / USABLE_SHARE + 0.01
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


def run(scenario: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Runs a scenario on a simulated clock."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(scenario(*arguments))


def make_pools(count: int) -> dict[str, SimulatedEndpoint]:
    """Returns endpoints of the pools of streams and calls, with long streams."""
    endpoint_by_id = make_endpoints(count) | make_endpoints(count, "plain")
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    return endpoint_by_id


def exhaust_budget(cluster: GatewayCluster) -> None:
    """Leaves no retry to any instance."""
    for gateway in cluster.memory.services("gateway"):
        gateway.budget.ratio = gateway.budget.slack = 0.0


async def wait_for_server(
    cluster: GatewayCluster, *former: SimulatedEndpoint
) -> SimulatedEndpoint:
    """Returns the endpoint that serves the only request, other than former ones."""
    async with asyncio.timeout(3.0):
        while True:
            for endpoint in cluster.endpoint_by_id.values():
                if endpoint.in_progress and endpoint not in former:
                    return endpoint
            await asyncio.sleep(0.0005)


def sources(reply: FakeReply) -> list[str]:
    """Returns which endpoint each event of a stream came from.

    Fails if an event is missing, comes twice or belongs to another request.
    """
    events = _EVENT.findall(reply.body)
    assert reply.body == b"".join(b"id: %s\ndata: %s %s\n\n" % item for item in events)
    assert [int(number) for number, _, _ in events] == list(range(len(events)))
    assert len({id for _, id, _ in events}) <= 1
    return [endpoint.decode() for _, _, endpoint in events]


def check_whole(reply: FakeReply, events: int = EVENTS) -> list[str]:
    """Checks that a stream is whole and returns the sources of its events."""
    assert (reply.status, reply.is_complete) == (200, True)
    result = sources(reply)
    assert len(result) == events
    return result


def took_s(reply: FakeReply) -> float:
    """Returns the seconds from a request's arrival to its end."""
    assert reply.ended_at is not None
    return reply.ended_at - reply.arrived


def check_all_left(cluster: GatewayCluster) -> None:
    """Checks that no exchange and no assignment is left."""
    for endpoint in cluster.endpoint_by_id.values():
        assert endpoint.in_progress == 0
    for load in cluster.memory.services("load"):
        assert not load.table.own_assignments()


def ejected(cluster: GatewayCluster) -> set[str]:
    """Returns the ids of the endpoints that any instance has ejected."""
    return {
        id
        for id in cluster.endpoint_by_id
        for placer in cluster.memory.services("placement")
        if placer.health.is_ejected(id, now())
    }


async def _silent_for_a_time(
    path: str, after_s: float, has_budget: bool, endpoints: int
) -> None:
    async with gateway_cluster(1, make_pools(endpoints)) as cluster:
        if not has_budget:
            exhaust_budget(cluster)
        task = asyncio.create_task(cluster.send("n0", path))
        endpoint = await wait_for_server(cluster)
        for other in cluster.endpoint_by_id.values():
            other.work_s = 2.0 if other is not endpoint else other.work_s
        await asyncio.sleep(after_s)
        endpoint.fall_silent(SILENCE_S)
        reply = await task
        expected = EVENTS if path in ("ask", "tell") else 1
        assert set(check_whole(reply, expected)) == {endpoint.endpoint.id}
        assert took_s(reply) < SILENCE_S + 0.7
        assert not ejected(cluster)
        check_all_left(cluster)


@pytest.mark.parametrize("endpoints", [1, 3])
@pytest.mark.parametrize("has_budget", [True, False])
@pytest.mark.parametrize(
    ("path", "after_s"), [("ask", 0.2), ("ask", 0.0), ("tell", 0.2), ("look", 0.0)]
)
def test_a_response_goes_on_after_a_silence(
    path: str, after_s: float, has_budget: bool, endpoints: int
) -> None:
    """The exchange was given up, whether or not another endpoint was faster."""
    run(_silent_for_a_time, path, after_s, has_budget, endpoints)


async def _no_attempts_left() -> None:
    async with gateway_cluster(1, make_pools(4)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        crashed: list[SimulatedEndpoint] = []
        for _ in range(2):
            endpoint = await wait_for_server(cluster, *crashed)
            await asyncio.sleep(0.12)
            cluster.crash(endpoint)
            crashed.append(endpoint)
        endpoint = await wait_for_server(cluster, *crashed)
        await asyncio.sleep(0.12)
        endpoint.fall_silent(SILENCE_S)
        check_whole(await task)
        check_all_left(cluster)


def test_the_last_attempt_goes_on_after_a_silence() -> None:
    run(_no_attempts_left)


async def _silent_for_good(path: str, after_s: float, is_muted: bool) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0", path))
        endpoint = await wait_for_server(cluster)
        await asyncio.sleep(after_s)
        if is_muted:
            endpoint.mute_connections()
        else:
            endpoint.fall_silent(FOR_GOOD)
        reply = await task
        expected = EVENTS if path == "ask" else 1
        assert check_whole(reply, expected)[-1] != endpoint.endpoint.id
        delay_s = STREAM_DELAY_S if path == "ask" else CALL_DELAY_S
        assert took_s(reply) < delay_s + 0.8
        assert ejected(cluster) == {endpoint.endpoint.id}
        check_all_left(cluster)


@pytest.mark.parametrize("is_muted", [True, False])
@pytest.mark.parametrize(("path", "after_s"), [("ask", 0.2), ("ask", 0), ("look", 0)])
def test_another_endpoint_serves_when_the_first_is_silent_for_good(
    path: str, after_s: float, is_muted: bool
) -> None:
    run(_silent_for_good, path, after_s, is_muted)


async def _two_silent_for_good() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0", "look"))
        first = await wait_for_server(cluster)
        first.fall_silent(FOR_GOOD)
        second = await wait_for_server(cluster, first)
        second.fall_silent(FOR_GOOD)
        silent = {first.endpoint.id, second.endpoint.id}
        assert silent.isdisjoint(check_whole(await task, 1))
        check_all_left(cluster)


def test_a_third_endpoint_serves_when_two_are_silent_for_good() -> None:
    run(_two_silent_for_good)


async def _caller_still_there(is_crashing: bool) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(FOR_GOOD)
        if is_crashing:
            exhaust_budget(cluster)
            await asyncio.sleep(2.4)
            cluster.memory.get("n0", "gateway").budget.slack = 100.0
            cluster.crash(first)
        else:
            second = await wait_for_server(cluster, first)
            second.fall_silent(FOR_GOOD)
        check_whole(await task)
        check_all_left(cluster)


@pytest.mark.parametrize("is_crashing", [False, True])
def test_a_stream_is_helped_as_long_as_its_caller_is_there(is_crashing: bool) -> None:
    """A caller whose idle timeout should have passed was taken to have left."""
    run(_caller_still_there, is_crashing)


async def _not_idempotent(path: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0", path))
        endpoint = await wait_for_server(cluster)
        endpoint.fall_silent(FOR_GOOD)
        reply = await task
        assert (reply.status, reply.is_complete) == (504, True)
        endpoints = cluster.endpoint_by_id.values()
        assert sum(len(item.arrivals) for item in endpoints) == 1
        check_all_left(cluster)


@pytest.mark.parametrize("path", ["book", "tell"])
def test_a_request_that_is_not_idempotent_is_sent_once(path: str) -> None:
    run(_not_idempotent, path)


async def _all_silent(instances: int, path: str) -> None:
    async with gateway_cluster(instances, make_pools(3 * instances)) as cluster:
        load = asyncio.create_task(
            cluster.load(6.0 * instances, 3.0, path=path, timeout_s=5.0)
        )
        await asyncio.sleep(1.5)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.fall_silent(SILENCE_S)
        await asyncio.sleep(SILENCE_S)
        assert not ejected(cluster)
        for reply in await load:
            check_whole(reply, EVENTS if path == "ask" else 1)
        assert not ejected(cluster)
        check_all_left(cluster)


@pytest.mark.parametrize("path", ["ask", "look"])
@pytest.mark.parametrize("instances", [1, 6])
def test_a_silence_of_all_endpoints_ejects_none_and_cuts_no_response(
    instances: int, path: str
) -> None:
    run(_all_silent, instances, path)


async def _each_silent_twice(instances: int, endpoints: int, seconds: float) -> None:
    endpoint_by_id = make_endpoints(endpoints)
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        chooser = random.Random(5)
        loop = asyncio.get_running_loop()
        for endpoint in cluster.endpoint_by_id.values():
            for _ in range(2):
                at_s = chooser.uniform(0.0, seconds)
                loop.call_later(at_s, endpoint.fall_silent, SILENCE_S)
        replies = await cluster.load(24.0, seconds)
        assert len(replies) > 15 * seconds
        for reply in replies:
            check_whole(reply)
        check_all_left(cluster)


@pytest.mark.parametrize(
    ("instances", "endpoints", "seconds"), [(1, 6, 10.0), (6, 18, 10.0)]
)
def test_endpoints_that_fall_silent_in_turn_cut_no_stream(
    instances: int, endpoints: int, seconds: float
) -> None:
    """Of 235 streams of 6 instances, 24 were cut."""
    run(_each_silent_twice, instances, endpoints, seconds)


async def _count_sends(silence_s: float) -> float:
    """Returns the sends for each request if all endpoints are silent together."""
    endpoint_by_id = make_endpoints(18)
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    async with gateway_cluster(6, endpoint_by_id) as cluster:
        loop = asyncio.get_running_loop()
        for gateway in cluster.memory.services("gateway"):
            gateway.budget.started = float("-inf")
        for endpoint in endpoint_by_id.values():
            for after_s in (2.0, 5.0, 8.0):
                loop.call_later(after_s, endpoint.fall_silent, silence_s)
        replies = await cluster.load(24.0, 10.0)
        for reply in replies:
            check_whole(reply)
        check_all_left(cluster)
        sends = sum(len(item.arrivals) for item in endpoint_by_id.values())
        return sends / len(replies)


@pytest.mark.parametrize("silence_s", [1.0, 1.2, 1.5])
def test_a_short_silence_of_all_endpoints_starts_few_hedges(silence_s: float) -> None:
    """Each started a hedge after 1.0 s, so that 238 streams took up to 314 sends."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        assert runner.run(_count_sends(silence_s)) <= 1.05


class TimedReply(FakeReply):
    """Records the longest time for which its caller gets no event."""

    def __init__(self) -> None:
        super().__init__()
        self.last_at = now()
        self.longest_gap_s = 0.0

    def _record(self) -> None:
        self.longest_gap_s = max(self.longest_gap_s, now() - self.last_at)
        self.last_at = now()

    async def start_stream(self, head: ResponseHead, data: bytes) -> None:
        """Records the first events and their time."""
        self._record()
        await super().start_stream(head, data)

    async def send_events(self, data: bytes) -> None:
        """Records further events and their time."""
        self._record()
        await super().send_events(data)


async def _one_can_help(is_muted: bool) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        replies = [TimedReply() for _ in range(12)]
        tasks = [
            asyncio.create_task(cluster.send("n0", reply=reply)) for reply in replies
        ]
        await asyncio.sleep(0.2)
        engines = [
            item
            for item in cluster.endpoint_by_id.values()
            if item.endpoint.pool == "engines"
        ]
        for endpoint in engines if is_muted else engines[1:]:
            if is_muted:
                endpoint.mute_connections()
            else:
                endpoint.fall_silent(FOR_GOOD)
        for reply in await asyncio.gather(*tasks):
            check_whole(reply)
        assert max(item.longest_gap_s for item in replies) < CALLER_IDLE_TIMEOUT_S
        check_all_left(cluster)


@pytest.mark.parametrize("is_muted", [False, True])
def test_streams_that_one_endpoint_can_help_are_helped_before_callers_leave(
    is_muted: bool,
) -> None:
    """Hedges went to endpoints that were silent for other requests."""
    run(_one_can_help, is_muted)


async def _one_of_many_is_silent() -> None:
    async with gateway_cluster(1, make_pools(4)) as cluster:
        # Else there are few spare retries just after the start.
        cluster.memory.get("n0", "gateway").budget.started = float("-inf")
        load = asyncio.create_task(cluster.load(20.0, 3.0))
        await asyncio.sleep(1.0)
        cluster.busiest_endpoint().fall_silent(FOR_GOOD)
        replies = await load
        for reply in replies:
            check_whole(reply)
        assert any(took_s(reply) > STREAM_DELAY_S for reply in replies)
        assert max(took_s(reply) for reply in replies) < STREAM_DELAY_S + 1.0
        check_all_left(cluster)


def test_a_silence_beside_endpoints_that_send_data_is_hedged_early() -> None:
    run(_one_of_many_is_silent)


async def _keep_sending(cluster: GatewayCluster) -> None:
    while True:
        check_whole(await cluster.send("n0"))


async def _silent_beside_data(slack: float) -> float:
    """Returns how long a stream takes whose connection falls silent for good.

    Another endpoint sends data meanwhile.

    :param slack: that of the retry budget, of which there is nothing else.
    """
    async with gateway_cluster(1, make_pools(4)) as cluster:
        budget = cluster.memory.get("n0", "gateway").budget
        budget.started, budget.ratio, budget.slack = float("-inf"), 0.0, slack
        task = asyncio.create_task(cluster.send("n0"))
        endpoint = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        endpoint.mute_connections()
        others = [asyncio.create_task(_keep_sending(cluster)) for _ in range(12)]
        reply = await task
        for other in others:
            other.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        check_whole(reply)
        return took_s(reply)


def test_the_rest_of_the_budget_is_kept_for_longer_silences() -> None:
    """A part of the retries is for hedges of silences that may be short."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        early_s = runner.run(_silent_beside_data(100.0))
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        late_s = runner.run(_silent_beside_data(ONE_RETRY_SLACK))
    assert early_s < STREAM_DELAY_S + 0.8
    assert SHORT_SILENCE_S < late_s < SHORT_SILENCE_S + 0.8


async def _silent_without_budget() -> None:
    async with gateway_cluster(1, make_pools(4)) as cluster:
        exhaust_budget(cluster)
        load = asyncio.create_task(cluster.load(20.0, 5.6))
        await asyncio.sleep(1.0)
        silent = cluster.busiest_endpoint()
        silent.fall_silent(FOR_GOOD)
        known_at = now() + 1.5 * STREAM_DELAY_S
        await load
        assert not silent.arrivals_since(known_at)
        check_all_left(cluster)


def test_an_endpoint_that_is_silent_gets_no_new_requests_without_a_hedge() -> None:
    """Only a hedge that was faster told of its silence.

    It gets none while requests wait for it, nor soon after their deadline.
    """
    run(_silent_without_budget)


async def _most_have_a_silent_connection() -> None:
    async with gateway_cluster(1, make_pools(4)) as cluster:
        exhaust_budget(cluster)
        engines = [
            item
            for item in cluster.endpoint_by_id.values()
            if item.endpoint.pool == "engines"
        ]
        first = [asyncio.create_task(cluster.send("n0")) for _ in range(16)]
        await asyncio.sleep(0.2)
        for endpoint in engines[1:]:
            assert endpoint.in_progress
            endpoint.mute_connections()
        await asyncio.sleep(1.2 * STREAM_DELAY_S)
        slots = sum(item.endpoint.slots - item.in_progress for item in engines)
        replies = await asyncio.gather(*(cluster.send("n0") for _ in range(slots)))
        for reply in replies:
            check_whole(reply)
        assert max(took_s(reply) for reply in replies) < 1.0
        await asyncio.gather(*first)
        check_all_left(cluster)


def test_sound_endpoints_are_used_of_which_most_have_a_silent_connection() -> None:
    """All requests waited for the only endpoint without one."""
    run(_most_have_a_silent_connection)


async def _short_of_time() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.events = 30
        budget = cluster.memory.get("n0", "gateway").budget
        assert budget.try_acquire_early_hedge("engines", now())
        task = asyncio.create_task(cluster.send("n0", timeout_s=2.8))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(FOR_GOOD)
        check_whole(await task, events=30)


def test_a_hedge_that_waits_leaves_time_for_the_rest_of_the_stream() -> None:
    """It was sent so late that the stream ended at its deadline."""
    run(_short_of_time)


async def _many_instances(instances: int) -> None:
    endpoint_by_id = make_endpoints(instances)
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    apps = []
    for number in range(instances):
        name = f"n{number}"
        make_connector = functools.partial(
            SimulatedConnector, cluster=GatewayCluster(endpoint_by_id), own=name
        )
        app = make_app(name, with_connector(make_connector))
        for endpoint in endpoint_by_id.values():
            app.get("catalog").registry.put(endpoint.endpoint)
        apps.append(app)
    for endpoint in endpoint_by_id.values():
        asyncio.get_running_loop().call_later(0.5, endpoint.fall_silent, SILENCE_S)
    requests = [
        serve(app, 100 * index + number, ScheduledRequest(0.1 * number, "ask", 4.0))
        for index, app in enumerate(apps)
        for number in range(10)
    ]
    for reply, _ in await asyncio.gather(*requests):
        check_whole(reply)
    for app in apps:
        assert not app.get("load").table.own_assignments()
        ids = endpoint_by_id.keys()
        assert not any(app.get("placement").health.is_ejected(id, now()) for id in ids)


def test_eighty_instances_cut_no_stream_in_a_silence_of_all_endpoints() -> None:
    """They don't know each other, which saves most of the time of the test."""
    run(_many_instances, 80)


async def _ready_at_once(offset_s: float) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(FOR_GOOD)
        second = await wait_for_server(cluster, first)
        sent_at = second.arrivals[0].at
        first.fall_silent(sent_at + second.work_s + offset_s - now())
        result = check_whole(await task)
        if offset_s <= 0:
            assert set(result) == {first.endpoint.id}
        check_all_left(cluster)


@pytest.mark.parametrize("offset_s", [-0.001, 0.0, 0.001, 0.02, 0.05])
def test_no_event_comes_twice_if_both_endpoints_send_at_once(offset_s: float) -> None:
    run(_ready_at_once, offset_s)


async def _released_together() -> None:
    async with gateway_cluster(1, make_pools(2)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(FOR_GOOD)
        second = await wait_for_server(cluster, first)
        second.on_start = lambda endpoint, _: endpoint.fall_silent(FOR_GOOD)
        await asyncio.sleep(0.1)
        second.fall_silent(0.0)
        first.fall_silent(0.0)
        assert set(check_whole(await task)) == {first.endpoint.id}
        check_all_left(cluster)


def test_the_first_endpoint_is_the_source_if_both_send_at_once() -> None:
    run(_released_together)


async def _without_ids(is_crashing: bool) -> None:
    async with gateway_cluster(1, make_pools(2)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.has_ids = False
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(SILENCE_S)
        if is_crashing:
            cluster.crash(first)
        reply = await task
        assert reply.is_complete != is_crashing
        assert (reply.body.count(b"data: ") == EVENTS) != is_crashing
        endpoints = cluster.endpoint_by_id.values()
        assert sum(len(item.arrivals) for item in endpoints) == 1
        check_all_left(cluster)


@pytest.mark.parametrize("is_crashing", [False, True])
def test_a_stream_whose_events_have_no_ids_is_not_resumed(is_crashing: bool) -> None:
    """Another endpoint would begin it again, and its events would come twice."""
    run(_without_ids, is_crashing)


async def _first_breaks_while_second_runs(is_second_failing: bool) -> None:
    async with gateway_cluster(1, make_pools(2)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(1.3)
        for item in cluster.endpoint_by_id.values():
            if item is not first:
                item.work_s = 0.6
                item.status = 500 if is_second_failing else 200
        await asyncio.sleep(1.1)
        if not is_second_failing:
            cluster.crash(first)
        result = check_whole(await task)
        assert (set(result) == {first.endpoint.id}) == is_second_failing
        check_all_left(cluster)


@pytest.mark.parametrize("is_second_failing", [True, False])
def test_the_attempt_that_does_not_fail_goes_on(is_second_failing: bool) -> None:
    run(_first_breaks_while_second_runs, is_second_failing)


async def _late_resume() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.events, endpoint.event_s = 60, 0.05
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(2.4)
        cluster.crash(first)
        check_whole(await task, events=60)


def test_a_stream_older_than_the_callers_idle_timeout_is_resumed() -> None:
    """Placement took the time left to its first event from its arrival."""
    run(_late_resume)


async def _caller_leaves() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.fall_silent(FOR_GOOD)
        await asyncio.sleep(STREAM_DELAY_S + 0.1)
        endpoints = cluster.endpoint_by_id.values()
        assert sum(item.in_progress for item in endpoints) == 2
        assert first.in_progress == 1
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        check_all_left(cluster)
        assert sum(len(item.arrivals) for item in endpoints) == 2


def test_all_exchanges_are_cancelled_once_the_caller_leaves() -> None:
    run(_caller_leaves)


async def _silent_before_connecting(path: str) -> None:
    async with gateway_cluster(1, make_pools(4)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.accepts_while_silent = False
            endpoint.fall_silent(SILENCE_S)
        check_whole(await cluster.send("n0", path), EVENTS if path == "ask" else 1)
        check_all_left(cluster)


@pytest.mark.parametrize("path", ["ask", "look", "book"])
def test_a_request_outlasts_a_pool_that_accepts_no_connections(path: str) -> None:
    run(_silent_before_connecting, path)


async def _hedges_denied(denial: str) -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        task = asyncio.create_task(cluster.send("n0"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.2)
        first.fall_silent(1.8)
        if denial == "quarantine":
            quarantine = cluster.memory.get("n0", "quarantine")
            error = Error(ErrorKind.PROMPT_SUSPECTED, "", retry_after_s=9.0)
            quarantine.find_refusal = lambda *_: asyncio.sleep(0.01, result=error)
        elif denial == "pool":
            placer = cluster.memory.get("n0", "placement")
            error = Error(ErrorKind.NO_ENDPOINT, "", retry_after_s=1.0)
            placer._pools.resolve = lambda request: Failure(error)
        else:
            for endpoint in cluster.endpoint_by_id.values():
                endpoint.status = 500 if endpoint is not first else 200
        assert set(check_whole(await task)) == {first.endpoint.id}
        check_all_left(cluster)


@pytest.mark.parametrize("denial", ["quarantine", "pool", "error"])
def test_a_refusal_of_a_hedge_leaves_the_first_exchange_alone(denial: str) -> None:
    run(_hedges_denied, denial)


async def _few_retries() -> None:
    async with gateway_cluster(1, make_pools(6)) as cluster:
        budget = cluster.memory.get("n0", "gateway").budget
        budget.started, budget.ratio, budget.slack = float("-inf"), 0.0, 5.0
        tasks = [asyncio.create_task(cluster.send("n0")) for _ in range(12)]
        await asyncio.sleep(0.15)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.fall_silent(1.8)
        for reply in await asyncio.gather(*tasks):
            check_whole(reply)
        endpoints = cluster.endpoint_by_id.values()
        assert sum(len(item.arrivals) for item in endpoints) == 12 + 3
        check_all_left(cluster)


def test_hedges_are_taken_from_the_retry_budget() -> None:
    """Three of five retries may be used, as 0.7 of the budget is."""
    run(_few_retries)


async def _body_in_chunks() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.call_chunks, endpoint.event_s = 4, 0.2
        task = asyncio.create_task(cluster.send("n0", "look"))
        first = await wait_for_server(cluster)
        await asyncio.sleep(0.3)
        first.fall_silent(FOR_GOOD)
        result = check_whole(await task, 4)
        assert len(set(result)) == 1
        assert first.endpoint.id not in result
        check_all_left(cluster)


def test_a_body_is_that_of_one_endpoint() -> None:
    """The first endpoint falls silent within the body of its response."""
    run(_body_in_chunks)


class SlowReply(FakeReply):
    """A caller that reads nothing for some seconds in the middle of a stream."""

    async def send_events(self, data: bytes) -> None:
        """Records events; waits once."""
        if self.body.count(b"id: ") == 3:
            await asyncio.sleep(2.5)
        await super().send_events(data)


async def _slow_caller() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        check_whole(await cluster.send("n0", timeout_s=5.0, reply=SlowReply()))
        endpoints = cluster.endpoint_by_id.values()
        assert sum(len(item.arrivals) for item in endpoints) == 1


def test_a_caller_that_reads_slowly_is_no_silence_of_the_endpoint() -> None:
    run(_slow_caller)


async def _crash_beside_hedge() -> None:
    async with gateway_cluster(1, make_pools(3)) as cluster:
        blamed = []
        quarantine = cluster.memory.get("n0", "quarantine")
        quarantine.record_crash = lambda *crash: blamed.append(crash)
        client = cluster.memory.get("n0", "endpoint_caller")
        client.is_process_gone = lambda _: asyncio.sleep(0.1, result=True)
        request = cluster.send("n0", shared_part_ids=("p1",))
        task = asyncio.create_task(request)
        first = await wait_for_server(cluster)
        first.fall_silent(1.02)
        await asyncio.sleep(STREAM_DELAY_S)
        cluster.crash(first)
        check_whole(await task)
        assert [(item.id, keys.parts) for item, keys, _ in blamed] == [
            (first.endpoint.id, ("p1",))
        ]


def test_a_crash_beside_a_hedge_is_still_put_down_to_the_prompt() -> None:
    """The hedge sends data while it is found out that the first one has crashed."""
    run(_crash_beside_hedge)


def _disturb(cluster: GatewayCluster, chooser: random.Random) -> None:
    endpoint = chooser.choice(list(cluster.endpoint_by_id.values()))
    if chooser.random() < 0.3:
        endpoint.mute_connections()
    else:
        endpoint.fall_silent(chooser.uniform(0.05, 1.8))


async def _random_silences(seed: int, paths: Sequence[str]) -> None:
    async with gateway_cluster(3, make_pools(9)) as cluster:
        chooser = random.Random(seed)
        tasks = []
        for number in range(120):
            path = chooser.choice(paths)
            instance = f"n{number % 3}"
            request = cluster.send(instance, path, timeout_s=4.0)
            tasks.append(asyncio.create_task(request))
            if chooser.random() < 0.2:
                _disturb(cluster, chooser)
            await asyncio.sleep(chooser.uniform(0.0, 0.08))
        for reply in await asyncio.gather(*tasks):
            assert took_s(reply) <= 4.0 + 1e-6
            sources(reply)
        check_all_left(cluster)
        sent = [
            arrival.request.caller
            for endpoint in cluster.endpoint_by_id.values()
            for arrival in endpoint.arrivals
        ]
        for caller in sent:
            count = sum(item.id == caller.id for item in sent)
            assert count <= (3 if caller.target in ("/ask/x", "/look/x") else 1)


@pytest.mark.parametrize("seed", range(6))
def test_any_schedule_of_silences_keeps_streams_whole_and_sends_few(seed: int) -> None:
    run(_random_silences, seed, ("ask", "look", "tell", "book"))
