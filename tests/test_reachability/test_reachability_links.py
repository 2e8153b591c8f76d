"""What an instance believes of its links to endpoints, and what it logs of that.

The log did not say that an instance had lost its links, so that the failures of its
requests looked like failures of the endpoints.
"""

from __future__ import annotations

import logbook

from cicadacourse.events import ENDPOINT_CHANGED, RESUMED_AFTER_PAUSE
from cicadacourse.logs import LINKS_LOST, LINKS_RESTORED, LogEvent
from tests.test_limits.test_limits_cluster import run
from tests.test_reachability.link_cluster import LinkCluster, link_cluster


def lines_of(handler: logbook.TestHandler, event: LogEvent) -> list[dict[str, object]]:
    """Returns the fields of the lines of one event."""
    return [item.extra for item in handler.records if item.message == event.text]


async def _logged_once() -> None:
    async with link_cluster(2, 3) as cluster:
        with logbook.TestHandler().applicationbound() as handler:
            cluster.cut_off("n0")
            for number in (0, 0, 1, 2, 0, 1):
                await cluster.try_connection("n0", cluster.endpoint(number))
            lost = lines_of(handler, LINKS_LOST)
            assert [(item["count"], item["share"]) for item in lost][-1] == (2, 1.0)
            assert len(lost) <= 2
            cluster.restore("n0")
            for number in range(3):
                assert await cluster.try_connection("n0", cluster.endpoint(number))
            (restored,) = lines_of(handler, LINKS_RESTORED)
            assert restored["most"] == 3


def test_lost_links_are_logged_on_a_change_only() -> None:
    run(_logged_once)


async def _dead_endpoint() -> None:
    async with link_cluster(3, 2) as cluster:
        endpoint = cluster.endpoint(0)
        cluster.endpoint_by_id[endpoint.id].is_down = True
        with logbook.TestHandler().applicationbound() as handler:
            assert not await cluster.try_connection("n0", endpoint)
            assert not lines_of(handler, LINKS_LOST)
        assert not cluster.links_of("n0").is_lost(endpoint)
        assert not cluster.links_of("n0").may_be_lost(endpoint)


def test_a_dead_endpoint_is_not_a_lost_link() -> None:
    run(_dead_endpoint)


async def _most_lost() -> None:
    async with link_cluster(2, 4) as cluster:
        links = cluster.links_of("n0")
        first, second, third, fourth = map(cluster.endpoint, range(4))
        cluster.cut_off("n0", ids=[first.id, second.id, third.id])
        await cluster.try_connection("n0", first)
        assert links.is_lost(first) and not links.may_be_lost(fourth)
        await cluster.try_connection("n0", second)
        assert links.may_be_lost(fourth) and not links.is_lost(fourth)
        assert await cluster.try_connection("n0", fourth)
        assert not links.may_be_lost(fourth) and links.may_be_lost(first)


def test_a_peer_is_asked_beside_if_several_links_in_a_row_are_lost() -> None:
    """Each request paid for connections that timed out, one endpoint after another."""
    run(_most_lost)


async def _peer_loses_it(cluster: LinkCluster) -> None:
    links = cluster.links_of("n0")
    endpoint = cluster.endpoint(0)
    cluster.cut_off("n0")
    await cluster.try_connection("n0", endpoint)
    assert links.is_lost(endpoint)
    links.record_not_reached_by_peer(endpoint, "n9")
    assert links.is_lost(endpoint)
    cluster.cut_off("n1")
    await cluster.try_connection("n0", endpoint)
    assert not links.is_lost(endpoint)


async def _denied() -> None:
    async with link_cluster(2, 1) as cluster:
        await _peer_loses_it(cluster)


def test_a_link_is_not_lost_once_the_peer_does_not_reach_the_endpoint_either() -> None:
    run(_denied)


async def _forgotten() -> None:
    async with link_cluster(2, 2) as cluster:
        links = cluster.links_of("n0")
        first, second = cluster.endpoint(0), cluster.endpoint(1)
        cluster.cut_off("n0")
        await cluster.try_connection("n0", first)
        await cluster.try_connection("n0", second)
        app = cluster.memory.application_by_name["n0"]
        app.get("catalog").registry.remove(first.id)
        app.events.emit(ENDPOINT_CHANGED, first)
        assert not links.is_lost(first) and links.is_lost(second)
        links.record_not_connected(first)
        links.record_reached_by_peer(first, "n1")
        assert not links.is_lost(first)
        app.events.emit(RESUMED_AFTER_PAUSE)
        assert not links.is_lost(second) and not links.may_be_lost(second)


def test_links_of_former_endpoints_and_from_before_a_pause_are_forgotten() -> None:
    """Connections time out in a pause; what is gone must not fill the memory."""
    run(_forgotten)
