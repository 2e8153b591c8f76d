"""A request that crashes each endpoint that begins to run it ends three at most.

It comes again with the same method, path, caller and body and a new id, at any
instance. Endpoints break off without a byte of a response, so that nothing but what
comes again tells it from the sound requests in progress there.
"""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from cicadacourse.exchange import EndpointRequest
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_connector import FATAL_S
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_limits.test_limits_cluster import run
from tests.test_quarantine.test_quarantine_cluster import served_share, sound_parts

# The platform's ``contactMs``.
CONTACT_S = 3.0
BAD = b"the bad body"
WORSE = b"the worse body"
MAX_LOST = 3
# What the users' rule allows later than ``CONTACT_S`` after the third crash.
MAX_SENT_LATER = 3


def make_unique_body(chooser: random.Random) -> bytes:
    """Returns the body of a request that never comes again."""
    return f"sound {chooser.random()}".encode()


def make_common_body(chooser: random.Random) -> bytes:
    """Returns one of few bodies, so that most requests come again."""
    return f"sound {chooser.randrange(5)}".encode()


def end_under(cluster: GatewayCluster, *bodies: bytes, path: str = "") -> None:
    """Lets each endpoint end under requests with one of some bodies.

    :param path: if not empty, only under those whose target begins with it.
    """

    def is_fatal(request: EndpointRequest) -> bool:
        caller = request.caller
        return caller.body in bodies and caller.target.startswith(path)

    for endpoint in cluster.endpoint_by_id.values():
        endpoint.is_fatal = is_fatal


def arrivals_of(cluster: GatewayCluster, body: bytes) -> list[float]:
    """Returns when requests with a body have reached endpoints, in order."""
    endpoints: list[SimulatedEndpoint] = [
        *cluster.former_endpoints,
        *cluster.endpoint_by_id.values(),
    ]
    return sorted(
        arrival.at
        for endpoint in endpoints
        for arrival in endpoint.arrivals
        if arrival.request.caller.body == body
    )


def sent_later(cluster: GatewayCluster, body: bytes) -> int:
    """Returns how often a body was sent ``CONTACT_S`` after its third crash."""
    times = arrivals_of(cluster, body)
    if len(times) < MAX_LOST:
        return 0
    since = times[MAX_LOST - 1] + FATAL_S + CONTACT_S
    return sum(at > since for at in times)


async def _calls(instances: int, rate: float, seconds: float, path: str) -> None:
    async with gateway_cluster(instances, make_endpoints(18, "plain")) as cluster:
        end_under(cluster, BAD)
        sound, _ = await asyncio.gather(
            cluster.load(20.0, seconds, path="look", make_body=make_unique_body),
            cluster.load(rate, seconds, seed=2, path=path, body=BAD),
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert sent_later(cluster, BAD) <= MAX_SENT_LATER
        assert served_share(sound) >= 0.95


@pytest.mark.parametrize(
    ("instances", "rate", "seconds"),
    [(1, 2.0, 10.0), (6, 2.0, 10.0), (20, 6.0, 4.0), (80, 10.0, 1.5)],
)
def test_a_bad_call_ends_few_endpoints(
    instances: int, rate: float, seconds: float
) -> None:
    """Each instance retried it and sent its next ones as any other."""
    run(_calls, instances, rate, seconds, "look")


def test_a_bad_call_that_may_run_only_once_ends_few_endpoints() -> None:
    """It is never retried, but comes again as another request."""
    run(_calls, 6, 2.0, 10.0, "book")


async def _streams(instances: int) -> None:
    async with gateway_cluster(instances, make_endpoints(18)) as cluster:
        end_under(cluster, BAD)
        sound, _ = await asyncio.gather(
            cluster.load(
                15.0, 10.0, make_parts=sound_parts, make_body=make_unique_body
            ),
            cluster.load(2.0, 10.0, seed=2, make_parts=sound_parts, body=BAD),
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert sent_later(cluster, BAD) <= MAX_SENT_LATER
        assert served_share(sound) >= 0.95


@pytest.mark.parametrize("instances", [1, 6])
def test_a_bad_stream_without_a_byte_ends_few_endpoints(instances: int) -> None:
    """Its prompt shares all its parts with sound prompts."""
    run(_streams, instances)


async def _lossy(instances: int, seconds: float) -> None:
    async with gateway_cluster(instances, make_endpoints(18, "plain")) as cluster:
        cluster.lose_messages(0.1)
        end_under(cluster, BAD)
        sound, _ = await asyncio.gather(
            cluster.load(20.0, seconds, path="look", make_body=make_unique_body),
            cluster.load(4.0, seconds, seed=2, path="look", body=BAD),
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert sent_later(cluster, BAD) <= MAX_SENT_LATER
        assert served_share(sound) >= 0.9


@pytest.mark.parametrize(("instances", "seconds"), [(6, 10.0), (20, 4.0)])
def test_a_bad_call_ends_few_endpoints_over_lossy_links(
    instances: int, seconds: float
) -> None:
    """A tenth of all messages is lost, also of those that tell whether one ended."""
    run(_lossy, instances, seconds)


async def _at_many_instances(instances: int) -> None:
    async with gateway_cluster(instances, make_endpoints(18, "plain")) as cluster:
        end_under(cluster, BAD)
        first = asyncio.create_task(cluster.send("n0", "look", body=BAD))
        await asyncio.sleep(FATAL_S + 0.05)
        names = sorted(cluster.memory.application_by_name)
        await asyncio.gather(
            first, *(cluster.send(name, "look", body=BAD) for name in names)
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST


@pytest.mark.parametrize("instances", [6, 20])
def test_a_bad_call_that_comes_to_many_instances_ends_few_endpoints(
    instances: int,
) -> None:
    """All instances knew of one crash only, and each would have tried it again."""
    run(_at_many_instances, instances)


async def _later_again() -> None:
    async with gateway_cluster(6, make_endpoints(6, "plain")) as cluster:
        end_under(cluster, BAD)
        for name in ("n0", "n1", "n2"):
            await cluster.send(name, "look", body=BAD)
        for pause_s in (5.0, 10.0):
            await asyncio.sleep(pause_s)
            for name in ("n3", "n4", "n5"):
                reply = await cluster.send(name, "look", body=BAD)
                assert reply.status == 503
                assert reply.ended_at - reply.arrived < 0.1
        assert len(cluster.crashed_at) <= MAX_LOST


def test_a_bad_call_that_comes_again_later_is_refused_at_once() -> None:
    run(_later_again)


async def _three_endpoints() -> None:
    async with gateway_cluster(6, make_endpoints(3, "plain")) as cluster:
        end_under(cluster, BAD)
        await cluster.load(20.0, 3.0, path="look", make_body=make_unique_body)
        sound, _ = await asyncio.gather(
            cluster.load(20.0, 15.0, seed=2, path="look", make_body=make_unique_body),
            cluster.load(2.0, 15.0, seed=3, path="look", body=BAD),
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert sent_later(cluster, BAD) <= MAX_SENT_LATER
        assert served_share(sound) >= 0.9


def test_a_service_of_three_endpoints_outlives_a_bad_call() -> None:
    """All three ended, started again and ended again."""
    run(_three_endpoints)


async def _two_bad() -> None:
    async with gateway_cluster(6, make_endpoints(18, "plain")) as cluster:
        end_under(cluster, BAD, WORSE)
        sound, *_ = await asyncio.gather(
            cluster.load(20.0, 10.0, path="look", make_body=make_unique_body),
            cluster.load(2.0, 10.0, seed=2, path="look", body=BAD),
            cluster.load(2.0, 10.0, seed=3, path="look", body=WORSE),
        )
        assert 2 <= len(cluster.crashed_at) <= 2 * MAX_LOST
        assert sent_later(cluster, BAD) <= MAX_SENT_LATER
        assert sent_later(cluster, WORSE) <= MAX_SENT_LATER
        assert served_share(sound) >= 0.95


def test_two_bad_calls_at_once_are_both_found() -> None:
    run(_two_bad)


async def _turned_bad() -> None:
    async with gateway_cluster(6, make_endpoints(18, "plain")) as cluster:
        replies = await cluster.load(5.0, 3.0, path="look", body=BAD)
        assert served_share(replies) == 1.0
        end_under(cluster, BAD)
        sound, _ = await asyncio.gather(
            cluster.load(20.0, 10.0, path="look", make_body=make_unique_body),
            cluster.load(2.0, 10.0, seed=2, path="look", body=BAD),
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert sent_later(cluster, BAD) <= MAX_SENT_LATER
        assert served_share(sound) >= 0.95


def test_a_call_that_was_sound_before_is_found_too() -> None:
    run(_turned_bad)


async def _restarts() -> None:
    async with gateway_cluster(3, make_endpoints(6, "plain")) as cluster:
        end_under(cluster, BAD)
        for name in ("n0", "n1", "n2"):
            await cluster.send(name, "look", body=BAD)
        await asyncio.sleep(CONTACT_S)
        for name in ("n0", "n1"):
            await cluster.memory.kill(name)
            await cluster.memory.start(name)
            reply = await cluster.send(name, "look", body=BAD)
            assert reply.status == 503
        assert len(cluster.crashed_at) <= MAX_LOST


def test_an_instance_that_has_just_started_asks_about_requests_too() -> None:
    run(_restarts)


async def _relatives() -> None:
    async with gateway_cluster(6, make_endpoints(18, "plain")) as cluster:
        end_under(cluster, BAD, path="/look/bad")
        same_path, same_body, _ = await asyncio.gather(
            cluster.load(
                10.0, 8.0, path="look", name="bad", make_body=make_unique_body
            ),
            cluster.load(10.0, 8.0, seed=2, path="look", name="sound", body=BAD),
            cluster.load(2.0, 8.0, seed=3, path="look", name="bad", body=BAD),
        )
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert served_share(same_path) >= 0.95
        assert served_share(same_body) >= 0.95


def test_requests_with_the_same_path_or_the_same_body_stay_served() -> None:
    run(_relatives)


async def _victims(endpoints: int, bodies: list[bytes]) -> None:
    async with gateway_cluster(3, make_endpoints(endpoints, "plain")) as cluster:
        end_under(cluster, BAD)
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.work_s = 0.2
        names = itertools.cycle(["n0", "n1", "n2"])
        bad = [asyncio.create_task(cluster.send("n0", "look", body=BAD))]
        victims = [
            asyncio.create_task(cluster.send(next(names), "look", body=body))
            for body in bodies
        ]
        await asyncio.sleep(0.6)
        bad += [asyncio.create_task(cluster.send("n1", "look", body=BAD))]
        await asyncio.gather(*bad)
        replies = await asyncio.gather(*victims)
        assert 1 <= len(cluster.crashed_at) <= MAX_LOST
        assert served_share(replies) == 1.0
        await asyncio.sleep(5.0)
        for body in set(bodies):
            reply = await cluster.send("n2", "look", body=body)
            assert reply.status == 200
            assert reply.ended_at - reply.arrived < 0.5
        reply = await cluster.send("n2", "look", body=BAD)
        assert reply.status == 503


@pytest.mark.parametrize("endpoints", [3, 6])
def test_requests_in_progress_at_the_crash_are_served_elsewhere(endpoints: int) -> None:
    """They look as the bad one does: they wait at the same crash."""
    run(_victims, endpoints, [f"victim {number}".encode() for number in range(8)])


@pytest.mark.parametrize("endpoints", [3, 6])
def test_a_bad_call_among_identical_victims_is_found(endpoints: int) -> None:
    """Many of one digest are blamed at once; the first that succeeds clears all."""
    run(_victims, endpoints, [b"identical"] * 8)


async def _other_crashes(make_body, rate: float) -> None:
    async with gateway_cluster(6, make_endpoints(6, "plain")) as cluster:
        for endpoint in cluster.endpoint_by_id.values():
            endpoint.work_s = 0.1
        load = asyncio.create_task(
            cluster.load(rate, 15.0, path="look", make_body=make_body)
        )
        chooser = random.Random(4)
        for _ in range(10):
            await asyncio.sleep(1.2)
            endpoints = cluster.endpoint_by_id.values()
            cluster.crash(
                chooser.choice([item for item in endpoints if not item.is_down])
            )
        replies = await load
        assert len(cluster.crashed_at) == 10
        suspected = sum(item.reason == "prompt_suspected" for item in replies)
        assert suspected <= 0.01 * len(replies)


@pytest.mark.parametrize("make_body", [make_common_body, make_unique_body])
def test_crashes_for_other_reasons_stop_no_request(make_body) -> None:
    """Requests that come again many times a second clear themselves by success."""
    run(_other_crashes, make_body, 20.0)
