"""What instances know of each other's lost links, and whom they ask for a way."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.membership import Member
from cicadacourse.reachability._peers import AVOID_S
from tests.test_limits.test_limits_cluster import run
from tests.test_reachability.link_cluster import LinkCluster, link_cluster


def known_shares(cluster: LinkCluster, instance: str) -> dict[str, float]:
    """Returns the shares of lost links that an instance knows."""
    return cluster.links_of(instance)._facts.share_by_instance()


async def _lose_all(cluster: LinkCluster, *instances: str) -> None:
    cluster.cut_off(*instances)
    for instance in instances:
        for number in range(2):
            await cluster.try_connection(instance, cluster.endpoint(number))


async def _told(instances: int) -> None:
    async with link_cluster(instances, 3) as cluster:
        await _lose_all(cluster, "n0")
        await asyncio.sleep(1.0)
        for name in cluster.memory.application_by_name:
            assert known_shares(cluster, name) == {"n0": 1.0}
            assert cluster.links_of(name)._facts.evidence.keys("lost_endpoints") == [
                "n0"
            ]
        cluster.restore("n0")
        for number in range(2):
            assert await cluster.try_connection("n0", cluster.endpoint(number))
        await asyncio.sleep(1.0)
        assert not any(
            known_shares(cluster, name) for name in cluster.memory.application_by_name
        )


@pytest.mark.parametrize("instances", [2, 6, 80])
def test_all_instances_know_who_has_lost_links(instances: int) -> None:
    """Nobody but the instance itself could know that it was cut off."""
    run(_told, instances)


async def _order() -> None:
    # Domains go round robin: n0, n3 and n6 are in the same one.
    async with link_cluster(9, 4) as cluster:
        links = cluster.links_of("n0")
        endpoint = cluster.endpoint(0)
        firsts, seconds = set(), set()
        for _ in range(60):
            first, second, third, *_ = (item.name for item in links.peers_for(endpoint))
            assert {first, third} == {"n3", "n6"}
            firsts.add(first)
            seconds.add(second)
        assert firsts == {"n3", "n6"} and len(seconds) >= 4
        links.record_not_reached_by_peer(endpoint, "n3")
        assert links.peers_for(endpoint)[-1].name == "n3"
        assert links.peers_for(cluster.endpoint(1))[-1].name != "n3"
        links.record_not_reached_by_peer(cluster.endpoint(1), "n3")
        assert links.peers_for(cluster.endpoint(2))[-1].name == "n3"
        await asyncio.sleep(AVOID_S)
        assert links.peers_for(endpoint)[-1].name not in ("n3", "n6")
        await _lose_all(cluster, "n3")
        await asyncio.sleep(0.5)
        links.record_not_reached_by_peer(endpoint, "n6")
        assert [item.name for item in links.peers_for(endpoint)[-2:]] == ["n6", "n3"]


def test_instances_that_are_likely_to_reach_an_endpoint_are_asked_first() -> None:
    run(_order)


async def _only_alive() -> None:
    async with link_cluster(3, 1) as cluster:
        endpoint = cluster.endpoint(0)
        cluster.memory.get("n1", "membership").set_leaving()
        await asyncio.sleep(0.5)
        peers: list[Member] = cluster.links_of("n0").peers_for(endpoint)
        assert [item.name for item in peers] == ["n2"]
    async with link_cluster(1, 1) as cluster:
        assert not cluster.links_of("n0").peers_for(cluster.endpoint(0))


def test_only_other_instances_that_are_alive_are_asked() -> None:
    run(_only_alive)
