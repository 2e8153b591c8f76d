"""All instances learn of evacuations in time, whoever reads the store.

An instance that had started, was paused or cut off, or that fetched a configuration
from one of an earlier release, must not send requests to a domain that is evacuated.
"""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable

import attrs
import pytest

from cicadacourse.catalog import CatalogSettings, Evacuation
from cicadacourse.feed import EvacuationFeed
from cicadacourse.feed._configuration_fetcher import ConfigurationFetcher
from cicadacourse.load import Configuration, EvacuationRecord, FetchConfiguration
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.test_eligibility.eligibility_cluster import (
    BARRED_DOMAIN,
    follow_evacuations,
    in_domain,
    make_two_domains,
)
from tests.test_placement.test_placement_retry_after import run, share_served

# The platform's bound on evacuations.
EVACUATE_S = 5.0
# How long an instance is out of touch at most after what has happened to it.
CONTACT_S = 4.0
EVACUATED = Evacuation(BARRED_DOMAIN, True, 10)
WITHDRAWN = Evacuation(BARRED_DOMAIN, False, 20)
FOLLOWING = (CatalogSettings(evacuation_bound_ms=5000),)

Feeds = dict[str, EvacuationFeed]
Disturbance = Callable[[GatewayCluster, Feeds], Awaitable[None]]


async def nothing(cluster: GatewayCluster, feeds: Feeds) -> None:
    """One instance reads the record."""
    feeds["n0"].apply_read(EVACUATED)


async def read_late_and_twice(cluster: GatewayCluster, feeds: Feeds) -> None:
    """Two instances read the record, one of them again and later."""
    feeds["n0"].apply_read(EVACUATED)
    await asyncio.sleep(2.0)
    for name in ("n1", "n0", "n1"):
        feeds[name].apply_read(EVACUATED)


async def messages_are_lost(cluster: GatewayCluster, feeds: Feeds) -> None:
    """A third of the messages between instances is lost meanwhile."""
    network = cluster.memory.network
    network.default_link.drop_probability = 0.3
    for pair in list(network._link_by_pair):
        network.link(*pair).drop_probability = 0.3
    feeds["n0"].apply_read(EVACUATED)


async def the_reader_is_killed(cluster: GatewayCluster, feeds: Feeds) -> None:
    """The instance that has read the record dies soon after, and starts again."""
    feeds["n0"].apply_read(EVACUATED)
    await asyncio.sleep(0.1)
    await cluster.memory.kill("n0")
    app = await cluster.memory.start("n0")
    # An instance that starts reads the store before it serves.
    EvacuationFeed(app).apply_snapshot([EVACUATED], 11)


async def one_is_frozen(cluster: GatewayCluster, feeds: Feeds) -> None:
    """An instance is suspended while the others learn of it."""
    cluster.freeze("n1")
    await asyncio.sleep(0.2)
    feeds["n0"].apply_read(EVACUATED)
    await asyncio.sleep(2.0)
    cluster.thaw("n1")


DISTURBANCES = [
    nothing,
    read_late_and_twice,
    messages_are_lost,
    the_reader_is_killed,
    one_is_frozen,
]


async def _evacuated(instances: int, disturb: Disturbance) -> None:
    endpoint_by_id = make_two_domains(6)
    async with gateway_cluster(instances, endpoint_by_id) as cluster:
        feeds = follow_evacuations(cluster)
        seconds = 12.0 if instances < 40 else 7.0
        load = asyncio.create_task(cluster.load(30.0, seconds))
        await asyncio.sleep(1.0)
        acknowledged_at = now()
        await disturb(cluster, feeds)
        replies = await load
        late_at = acknowledged_at + EVACUATE_S
        late = [
            arrival
            for endpoint in in_domain(cluster, BARRED_DOMAIN)
            for arrival in endpoint.arrivals
            if arrival.at > late_at
        ]
        assert not late
        if disturb is nothing:
            assert share_served(replies) >= 0.98


@pytest.mark.parametrize("disturb", DISTURBANCES, ids=lambda item: item.__name__)
@pytest.mark.parametrize("instances", [3, 7])
def test_no_request_arrives_after_the_bound(
    instances: int, disturb: Disturbance
) -> None:
    run(_evacuated, instances, disturb)


@pytest.mark.parametrize("instances", [40, 100])
def test_a_large_fleet_learns_of_an_evacuation_in_time(instances: int) -> None:
    """Few instances read the store, and each tells few of the others."""
    run(_evacuated, instances, nothing)


async def _withdrawn(reader: str) -> None:
    endpoint_by_id = make_two_domains(4)
    async with gateway_cluster(7, endpoint_by_id) as cluster:
        feeds = follow_evacuations(cluster)
        feeds["n0"].apply_read(EVACUATED)
        await asyncio.sleep(1.0)
        # Another instance repeats what it knows, which ends nothing.
        feeds["n2"].apply_read(attrs.evolve(EVACUATED, position=9, is_in_force=False))
        await asyncio.sleep(1.0)
        for app in cluster.memory.applications:
            assert BARRED_DOMAIN in app.get("catalog").evacuations
        if reader == "record":
            feeds["n3"].apply_read(WITHDRAWN)
        else:
            feeds["n3"].apply_snapshot([], WITHDRAWN.position)
        await asyncio.sleep(1.0)
        feeds["n1"].apply_read(EVACUATED)
        await asyncio.sleep(1.0)
        for app in cluster.memory.applications:
            assert BARRED_DOMAIN not in app.get("catalog").evacuations
        since = now()
        await cluster.load(30.0, 2.0)
        barred = in_domain(cluster, BARRED_DOMAIN)
        assert any(item.arrivals_since(since) for item in barred)


@pytest.mark.parametrize("reader", ["record", "snapshot"])
def test_only_a_later_withdrawal_ends_an_evacuation(reader: str) -> None:
    """A peer that repeats an older state must not send requests back."""
    run(_withdrawn, reader)


class _Feed:
    """Records what is applied."""

    def __init__(self) -> None:
        self.offsets: list[int] = []
        self.configuration_offset = 42
        self.configuration_history = self

    version = 3
    value = b"{}"

    def delta(self, _: int) -> bytes:
        """Returns a delta."""
        return b"delta"


@pytest.mark.parametrize("knows", [True, False])
async def test_records_that_a_source_has_not_read_are_read_here(knows: bool) -> None:
    """An instance of an earlier release passes over requests to evacuate.

    A configuration from it came with an offset beyond them, so that nobody read them.
    """
    endpoint_by_id = make_two_domains(2)
    async with gateway_cluster(2, endpoint_by_id, sections=FOLLOWING) as cluster:
        app = cluster.memory.get("n0", "catalog").app
        fetcher = ConfigurationFetcher(app)
        reply = Configuration(
            version=3,
            offset=42,
            evacuations=(
                (
                    EvacuationRecord(
                        failure_domain=BARRED_DOMAIN, is_in_force=True, position=10
                    ),
                )
                if knows
                else ()
            ),
            knows_evacuations=knows,
        )
        fetcher._apply_evacuations(reply, "n1")
        assert fetcher._offset_to_read_from(reply) == (42 if knows else 0)
        assert app.get("catalog").is_known == knows
        assert (BARRED_DOMAIN in app.get("catalog").evacuations) == knows
        if knows:
            app._services_by_name["feed"] = _Feed()
            made = fetcher.make_reply(FetchConfiguration(sender="x", takes_delta=True))
            assert made.evacuations == reply.evacuations
            assert made.knows_evacuations
