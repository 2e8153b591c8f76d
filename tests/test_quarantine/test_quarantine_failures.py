"""Suspicion reaches all instances, ends with a success, and blames no sound part."""

from __future__ import annotations

import asyncio
import random

import pytest

from cicadacourse.exchange import ResponseHead
from cicadacourse.quarantine import Quarantine, RequestKeys
from cicadacourse.quarantine._ledger import LIFETIME_S, MAX_SOUND_KEYS
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_limits.test_limits_cluster import run
from tests.test_quarantine.test_quarantine_cluster import (
    CONTACT_S,
    ENDPOINTS,
    MAX_LOST,
    bad_parts,
    count_arrivals,
    crash_on,
    served_share,
    sound_parts,
)

BAD = ("first0", "bad")
DIFFERENT_REQUESTS = 100_000


def quarantines(cluster: GatewayCluster) -> list[Quarantine]:
    return cluster.memory.services("quarantine")


async def _send_bad(cluster: GatewayCluster, count: int) -> None:
    for number in range(count):
        await cluster.send(f"n{number % 3}", shared_part_ids=BAD)


async def _lossy() -> None:
    async with gateway_cluster(20, make_endpoints(ENDPOINTS)) as cluster:
        network = cluster.memory.network
        network.default_link.drop_probability = 0.2
        for pair in list(network._link_by_pair):
            network.link(*pair).drop_probability = 0.2
        crash_on(cluster, "bad")
        await cluster.load(20.0, 2.0, make_parts=sound_parts)
        bad = asyncio.create_task(
            cluster.load(5.0, 8.0, seed=3, make_parts=bad_parts("bad"))
        )
        await asyncio.sleep(0.5)
        await asyncio.sleep(CONTACT_S)
        assert all(item.is_suspected("bad") for item in quarantines(cluster))
        await bad
        lost = len(cluster.crashed_at)
        assert lost <= MAX_LOST


def test_suspicion_reaches_all_instances_over_lossy_links() -> None:
    run(_lossy)


async def _later_instance() -> None:
    async with gateway_cluster(3, make_endpoints(ENDPOINTS)) as cluster:
        crash_on(cluster, "bad")
        # After a single crash, a trial would be due again within CONTACT_S.
        while len(cluster.crashed_at) < 2:
            await _send_bad(cluster, 3)
            await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        await _send_bad(cluster, 3)
        lost = len(cluster.crashed_at)
        cluster.memory.add_contact("later")
        app = await cluster.memory.start("later")
        await asyncio.sleep(CONTACT_S)
        assert app.get("quarantine").is_suspected("bad")
        reply = await cluster.send("later", shared_part_ids=BAD)
        assert reply.status == 503
        assert len(cluster.crashed_at) == lost


def test_an_instance_that_starts_later_is_told_of_it() -> None:
    run(_later_instance)


async def _just_started() -> None:
    async with gateway_cluster(3, make_endpoints(ENDPOINTS)) as cluster:
        crash_on(cluster, "bad")
        await _send_bad(cluster, 3)
        await asyncio.sleep(4.0)
        await _send_bad(cluster, 3)
        await asyncio.sleep(4.0)
        lost = len(cluster.crashed_at)
        await cluster.memory.kill("n1")
        await cluster.memory.start("n1")
        reply = await cluster.send("n1", shared_part_ids=BAD)
        assert reply.status == 503
        assert len(cluster.crashed_at) == lost


def test_an_instance_that_has_just_started_asks_first() -> None:
    """Each restart cost an endpoint (soak scenario ``prompts``, seed 22)."""
    run(_just_started)


async def _not_repeated() -> None:
    async with gateway_cluster(3, make_endpoints(ENDPOINTS)) as cluster:
        crash_on(cluster, "bad")
        await cluster.load(20.0, 2.0, make_parts=sound_parts)
        since = now()
        reply = await cluster.send("n0", shared_part_ids=BAD)
        assert reply.status == 502
        assert count_arrivals(cluster, "bad", since) == 1
        reply = await cluster.send("n1", shared_part_ids=BAD)
        assert reply.status == 503
        assert count_arrivals(cluster, "bad", since) == 1


def test_a_suspected_request_is_not_repeated_at_another_endpoint() -> None:
    """Each retry ended one more endpoint."""
    run(_not_repeated)


async def _victims() -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        endpoint.event_s = 0.3
        crash_on(cluster, "bad")
        await cluster.load(10.0, 2.0, make_parts=sound_parts)
        sound = [
            asyncio.create_task(cluster.send(f"n{n % 3}", shared_part_ids=("first0",)))
            for n in range(6)
        ]
        await asyncio.sleep(0.2)
        await cluster.send("n0", shared_part_ids=BAD)
        assert cluster.crashed_at
        await asyncio.gather(*sound)
        for item in quarantines(cluster):
            assert not item.is_suspected("first0")
            assert item.is_suspected("bad")
        await asyncio.sleep(4.0)
        reply = await cluster.send("n1", shared_part_ids=("first0", "another"))
        assert reply.status == 200


def test_requests_in_progress_at_the_crash_are_victims() -> None:
    run(_victims)


async def _other_crashes(begin_s: float) -> None:
    async with gateway_cluster(6, make_endpoints(6)) as cluster:
        await cluster.load(20.0, 3.0, make_parts=sound_parts)
        load = asyncio.create_task(
            cluster.load(20.0, 20.0, seed=2, make_parts=sound_parts)
        )
        chooser = random.Random(4)
        for _ in range(12):
            await asyncio.sleep(begin_s)
            cluster.crash(chooser.choice(list(cluster.endpoint_by_id.values())))
        replies = await load
        assert not any(item._verdicts() for item in quarantines(cluster))
        refused = sum(item.status == 503 for item in replies)
        assert refused <= 0.02 * len(replies)


@pytest.mark.parametrize("interval_s", [0.5, 1.5])
def test_crashes_for_other_reasons_quarantine_no_part(interval_s: float) -> None:
    run(_other_crashes, interval_s)


async def _success_clears() -> None:
    async with gateway_cluster(3, make_endpoints(4)) as cluster:
        crash_on(cluster, "bad")
        await _send_bad(cluster, 1)
        await asyncio.sleep(0.5)
        assert all(item.is_suspected("bad") for item in quarantines(cluster))
        crash_on(cluster, "nothing")
        statuses = []
        for number in range(8):
            reply = await cluster.send(f"n{number % 3}", shared_part_ids=BAD)
            statuses.append(reply.status)
            await asyncio.sleep(0.5)
        assert statuses[0] == 503 and statuses[-1] == 200
        assert not any(item.is_suspected("bad") for item in quarantines(cluster))


def test_a_success_clears_the_part_everywhere() -> None:
    run(_success_clears)


async def _turned_bad() -> None:
    async with gateway_cluster(6, make_endpoints(ENDPOINTS)) as cluster:
        draw = bad_parts("bad")
        await cluster.load(20.0, 3.0, make_parts=draw)
        crash_on(cluster, "bad")
        sound, _ = await asyncio.gather(
            cluster.load(20.0, 15.0, seed=2, make_parts=sound_parts),
            cluster.load(4.0, 15.0, seed=3, make_parts=draw),
        )
        lost = len(cluster.crashed_at)
        assert lost <= MAX_LOST
        assert served_share(sound) >= 0.9


def test_a_part_that_was_sound_before_is_found_too() -> None:
    run(_turned_bad)


async def _expiry() -> None:
    async with gateway_cluster(3, make_endpoints(ENDPOINTS)) as cluster:
        crash_on(cluster, "bad")
        await _send_bad(cluster, 2)
        await asyncio.sleep(3.0)
        await _send_bad(cluster, 2)
        assert all(item.is_suspected("bad") for item in quarantines(cluster))
        await asyncio.sleep(LIFETIME_S + 10.0)
        assert not any(item.is_suspected("bad") for item in quarantines(cluster))


def test_suspicion_expires() -> None:
    run(_expiry)


async def _bounded() -> None:
    async with gateway_cluster(1, make_endpoints(1)) as cluster:
        (service,) = quarantines(cluster)
        (endpoint,) = cluster.endpoint_by_id.values()
        for number in range(DIFFERENT_REQUESTS):
            keys = RequestKeys((f"p{number}",), f"d{number}")
            service.record_response(keys, ResponseHead(200, ()))
        assert len(service._parts) == MAX_SOUND_KEYS
        assert len(service._requests) == MAX_SOUND_KEYS
        for number in range(1200):
            keys = RequestKeys((f"c{number}",), f"e{number}")
            service.record_crash(endpoint.endpoint, keys, has_begun=True)
        evidence = cluster.memory.get("n0", "evidence")
        assert len(evidence.keys("part-crash")) <= 1000
        assert len(evidence.keys("request-crash")) <= 1000


def test_the_memory_of_parts_and_requests_is_bounded() -> None:
    """A minute of requests that never come again."""
    run(_bounded)
