"""Callers are sent to instances that reach endpoints, while there are enough of them.

Look-ups went on naming instances that had lost their links to all endpoints, and also
those of a failure domain all of whose instances had.
"""

from __future__ import annotations

import asyncio
import math
from typing import Callable, Sequence

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.logs import INSTANCES_LEFT_OUT
from cicadacourse.membership import Member, select_connected
from cicadacourse.platform._probes import Probes
from cicadacourse.platform._settings import ListenSettings
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_limits.test_limits_cluster import run
from tests.test_reachability.test_reachability_links import lines_of

# Callers keep what a look-up told them for seconds; it must be right before that.
KNOWN_S = 1.0


@given(st.integers(1, 12), st.sets(st.integers(0, 11)))
def test_instances_are_left_out_only_while_enough_remain(
    count: int, cut_off: set[int]
) -> None:
    alive = [Member(f"n{number}", "1.2.3.4:5") for number in range(count)]
    names = {f"n{number}" for number in cut_off}
    connected = [item for item in alive if item.name not in names]
    is_enough = len(connected) >= max(2, math.ceil(count / 3))
    expected = connected if is_enough else alive
    assert select_connected(alive, names) == expected


def make_probes(cluster: GatewayCluster, name: str) -> Probes:
    """Returns the look-ups of an instance, which don't listen."""
    app = cluster.memory.application_by_name[name]
    listen = ListenSettings(ready_address="", directory_address="")
    app.settings = Settings(app.settings.get(InstanceSettings), listen)
    return Probes(app)


def lose_links(cluster: GatewayCluster, instances: Sequence[str]) -> Callable[[], None]:
    """Cuts instances off, and lets them know it as requests would.

    :returns: a function that ends the cut.
    """
    end = cluster.cut(instances)
    peer = next(
        (name for name in cluster.memory.application_by_name if name not in instances),
        None,
    )
    for name in instances:
        links = cluster.memory.get(name, "reachability")
        for simulated in list(cluster.endpoint_by_id.values())[:2]:
            links.record_not_connected(simulated.endpoint)
            if peer is not None:
                links.record_reached_by_peer(simulated.endpoint, peer)
    return end


def named(probes: Probes, cluster: GatewayCluster) -> set[str]:
    """Returns the names of all instances that look-ups of any failure domain name."""
    by_address = {
        item.caller_address: item.name
        for item in cluster.memory.get("n1", "membership").members()
    }
    return {by_address[item] for domain in "abc" for item in probes.addresses(domain)}


async def _look_up(
    instances: int, cut_off: Sequence[str], left_out: Sequence[str]
) -> None:
    async with gateway_cluster(instances, make_endpoints(6)) as cluster:
        names = set(cluster.memory.application_by_name)
        probes_by_name = {name: make_probes(cluster, name) for name in sorted(names)}
        with logbook.TestHandler().applicationbound() as handler:
            lose_links(cluster, cut_off)
            await asyncio.sleep(KNOWN_S)
            for _ in range(8):
                for probes in probes_by_name.values():
                    assert named(probes, cluster) == names - set(left_out)
                await asyncio.sleep(1.0)
            lines = lines_of(handler, INSTANCES_LEFT_OUT)
            assert len(lines) == (instances if left_out else 0)
            assert all(item["count"] == len(left_out) for item in lines)


@pytest.mark.parametrize(
    ("instances", "cut_off", "left_out"),
    [
        pytest.param(6, ["n0"], ["n0"], id="one"),
        pytest.param(6, ["n0", "n3"], ["n0", "n3"], id="failure-domain"),
        pytest.param(6, ["n0", "n3", "n1", "n4"], ["n0", "n3", "n1", "n4"], id="two"),
        pytest.param(6, ["n0", "n1", "n2", "n3", "n4"], [], id="all-but-one"),
        pytest.param(6, [f"n{n}" for n in range(6)], [], id="all"),
        pytest.param(2, ["n0"], [], id="one-of-two"),
    ],
)
def test_look_ups_leave_out_instances_that_have_lost_their_links(
    instances: int, cut_off: Sequence[str], left_out: Sequence[str]
) -> None:
    run(_look_up, instances, cut_off, left_out)


async def _back(cut_off: Sequence[str]) -> None:
    async with gateway_cluster(6, make_endpoints(6)) as cluster:
        probes = make_probes(cluster, "n1")
        end = lose_links(cluster, cut_off)
        await asyncio.sleep(KNOWN_S)
        assert named(probes, cluster).isdisjoint(cut_off)
        end()
        await asyncio.sleep(2.0)
        assert named(probes, cluster) == set(cluster.memory.application_by_name)


def test_look_ups_name_instances_again_soon_after_their_links_are_back() -> None:
    run(_back, ["n0", "n3"])


async def _large_fleet() -> None:
    async with gateway_cluster(80, make_endpoints(6)) as cluster:
        domain = [f"n{number}" for number in range(0, 80, 3)]
        lose_links(cluster, domain)
        await asyncio.sleep(2 * KNOWN_S)
        for name in ("n0", "n1", "n2", "n79"):
            app = cluster.memory.application_by_name[name]
            assert app.get("reachability").cut_off_instances() == set(domain)
            assert len(app.get("evidence").keys("lost_endpoints")) == len(domain)
            assert named(make_probes(cluster, name), cluster).isdisjoint(domain)


def test_a_failure_domain_of_a_large_fleet_is_left_out_with_one_fact_each() -> None:
    run(_large_fleet)
