"""Lost links are tried in the background, with few connections, and used again soon.

Nothing tried them, so an instance that had lost its links learned of their return from
the requests of callers, each of which paid for connections that timed out.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from cicadacourse.events import ENDPOINT_CHANGED, RESUMED_AFTER_PAUSE
from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.test_limits.test_limits_cluster import run
from tests.test_reachability.link_cluster import LinkCluster, link_cluster

# How soon after the end of a cut endpoints are connected to directly again.
DIRECT_AGAIN_S = 1.0
MAX_TRIES_PER_S = 5.0


async def lose(cluster: LinkCluster, instance: str, count: int = 3) -> None:
    """Cuts an instance off, which finds out with some requests."""
    cluster.cut_off(instance)
    for number in range(count):
        await cluster.try_connection(instance, cluster.endpoint(number))


def tries_since(cluster: LinkCluster, instance: str, since: float) -> int:
    """Returns how many connections an instance has tried from a moment on."""
    return sum(at >= since and name == instance for at, name, _ in cluster.tries)


def lost_ids(cluster: LinkCluster, instance: str) -> set[str]:
    """Returns the ids of the endpoints to which an instance has lost its links."""
    links = cluster.links_of(instance)
    endpoints = [item.endpoint for item in cluster.endpoint_by_id.values()]
    return {item.id for item in endpoints if links.is_lost(item)}


async def _back_soon(instances: int, endpoints: int, fault: LinkFault) -> None:
    async with link_cluster(instances, endpoints, fault=fault) as cluster:
        await lose(cluster, "n0")
        since = now()
        await asyncio.sleep(12.0)
        assert tries_since(cluster, "n0", since) <= 12.0 * MAX_TRIES_PER_S
        assert cluster.links_of("n0").may_be_lost(cluster.endpoint(endpoints - 1))
        cluster.restore("n0")
        await asyncio.sleep(DIRECT_AGAIN_S)
        assert not lost_ids(cluster, "n0")
        assert not cluster.links_of("n0").may_be_lost(cluster.endpoint(0))
        since = now()
        await asyncio.sleep(5.0)
        assert tries_since(cluster, "n0", since) == 0


@pytest.mark.parametrize(
    ("instances", "endpoints", "fault"),
    [
        (2, 3, LinkFault.HANG),
        (6, 20, LinkFault.HANG),
        (6, 20, LinkFault.RESET),
        (6, 20, LinkFault.REFUSE_NEW),
        (3, 900, LinkFault.HANG),
        (80, 20, LinkFault.HANG),
    ],
)
def test_links_are_used_again_soon_after_a_cut_and_tried_seldom_in_it(
    instances: int, endpoints: int, fault: LinkFault
) -> None:
    run(_back_soon, instances, endpoints, fault)


async def _told_while_lost() -> None:
    async with link_cluster(6, 4) as cluster:
        await lose(cluster, "n0")
        for _ in range(10):
            await asyncio.sleep(2.0)
            for name in ("n1", "n5"):
                known = cluster.links_of(name)._facts.share_by_instance()
                assert known == {"n0": 1.0}


def test_others_know_of_lost_links_for_as_long_as_they_are_lost() -> None:
    run(_told_while_lost)


async def _ended_instance() -> None:
    async with link_cluster(4, 4) as cluster:
        await lose(cluster, "n0")
        await asyncio.sleep(1.0)
        await cluster.memory.kill("n0")
        await asyncio.sleep(7.0)
        assert not cluster.links_of("n1")._facts.share_by_instance()


def test_the_fact_of_an_instance_that_has_ended_expires() -> None:
    run(_ended_instance)


async def _dead_endpoint() -> None:
    async with link_cluster(3, 3) as cluster:
        endpoint = cluster.endpoint(0)
        cluster.endpoint_by_id[endpoint.id].is_down = True
        await cluster.try_connection("n0", endpoint)
        since = now()
        await asyncio.sleep(5.0)
        assert tries_since(cluster, "n0", since) == 0


def test_a_dead_endpoint_beside_others_is_not_tried_in_the_background() -> None:
    run(_dead_endpoint)


async def _lost_then_dead() -> None:
    async with link_cluster(3, 3) as cluster:
        await lose(cluster, "n0")
        endpoint = cluster.endpoint(0)
        cluster.endpoint_by_id[endpoint.id].is_down = True
        await asyncio.sleep(10.0)
        assert lost_ids(cluster, "n0") == set(cluster.endpoint_by_id) - {endpoint.id}


def test_an_endpoint_that_dies_behind_a_lost_link_no_longer_counts_as_reached() -> None:
    run(_lost_then_dead)


async def _partial() -> None:
    async with link_cluster(4, 10) as cluster:
        cluster.cut_off("n0", ids=[f"engines-{number}" for number in range(3)])
        for number in range(3):
            await cluster.try_connection("n0", cluster.endpoint(number))
        await asyncio.sleep(2.0)
        assert lost_ids(cluster, "n0") == {"engines-0", "engines-1", "engines-2"}
        assert not cluster.links_of("n0").may_be_lost(cluster.endpoint(9))
        assert cluster.links_of("n0")._report.share == pytest.approx(0.3)


def test_an_instance_that_lost_some_links_finds_out_that_the_others_work() -> None:
    run(_partial)


async def _all_cut(instances: int) -> None:
    async with link_cluster(instances, 4) as cluster:
        names = list(cluster.memory.application_by_name)
        cluster.cut_off(*names)
        for _ in range(3):
            for name in names:
                for number in range(4):
                    await cluster.try_connection(name, cluster.endpoint(number))
        for name in names:
            assert cluster.links_of(name).is_pool_unreachable("engines")
        since = now()
        await asyncio.sleep(5.0)
        assert tries_since(cluster, "n0", since) <= 5.0 * 2 * MAX_TRIES_PER_S
        cluster.restore(*names)
        await asyncio.sleep(DIRECT_AGAIN_S)
        for name in names:
            assert not cluster.links_of(name).is_pool_unreachable("engines")


@pytest.mark.parametrize("instances", [1, 2, 6])
def test_instances_that_are_all_cut_off_have_their_links_again_soon(
    instances: int,
) -> None:
    run(_all_cut, instances)


async def _others_back() -> None:
    async with link_cluster(3, 4) as cluster:
        cluster.cut_off("n0", "n1", "n2")
        for _ in range(3):
            for number in range(4):
                await cluster.try_connection("n0", cluster.endpoint(number))
        assert cluster.links_of("n0").is_pool_unreachable("engines")
        cluster.restore("n1", "n2")
        await asyncio.sleep(2.0)
        assert not cluster.links_of("n0").is_pool_unreachable("engines")
        assert lost_ids(cluster, "n0")


def test_an_instance_finds_out_that_others_reach_endpoints_again() -> None:
    run(_others_back)


async def _flapping(seed: int) -> None:
    chooser = random.Random(seed)
    async with link_cluster(4, 6) as cluster:
        for _ in range(20):
            await lose(cluster, "n0", 2)
            await asyncio.sleep(chooser.uniform(0.0, 1.0))
            cluster.restore("n0")
            await asyncio.sleep(chooser.uniform(0.0, 1.0))
        await asyncio.sleep(DIRECT_AGAIN_S)
        assert not lost_ids(cluster, "n0")
        await asyncio.sleep(0.5)
        assert not cluster.links_of("n1")._facts.share_by_instance()


@pytest.mark.parametrize("seed", range(3))
def test_links_that_flap_are_known_to_work_in_the_end(seed: int) -> None:
    run(_flapping, seed)


async def _some_messages_lost() -> None:
    async with link_cluster(6, 8) as cluster:
        cluster.lose_messages(0.03)
        await lose(cluster, "n0")
        await asyncio.sleep(3.0)
        for name in ("n1", "n2", "n3", "n4", "n5"):
            assert cluster.links_of(name)._facts.share_by_instance() == {"n0": 1.0}
        cluster.restore("n0")
        await asyncio.sleep(2.0)
        for name in cluster.memory.application_by_name:
            assert not lost_ids(cluster, name)
            assert not cluster.links_of(name)._facts.share_by_instance()


def test_a_loss_of_some_messages_does_not_change_what_is_found() -> None:
    run(_some_messages_lost)


async def _frozen() -> None:
    async with link_cluster(4, 4) as cluster:
        await lose(cluster, "n0")
        cluster.freeze("n0")
        await asyncio.sleep(5.0)
        cluster.restore("n0")
        cluster.thaw("n0")
        await asyncio.sleep(DIRECT_AGAIN_S)
        assert not lost_ids(cluster, "n0")


def test_an_instance_that_wakes_up_believes_nothing_from_before() -> None:
    run(_frozen)


async def _forgotten() -> None:
    async with link_cluster(2, 30) as cluster:
        await lose(cluster, "n0", 30)
        app = cluster.memory.application_by_name["n0"]
        for endpoint in list(app.get("catalog").registry.all()):
            app.get("catalog").registry.remove(endpoint.id)
            app.events.emit(ENDPOINT_CHANGED, endpoint)
        assert len(cluster.links_of("n0")._links) == 0
        since = now() + 0.5
        await asyncio.sleep(3.0)
        assert tries_since(cluster, "n0", since) == 0
        app.events.emit(RESUMED_AFTER_PAUSE)


def test_endpoints_that_are_gone_are_neither_kept_nor_tried() -> None:
    run(_forgotten)
