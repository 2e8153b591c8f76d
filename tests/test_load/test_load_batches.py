"""In large failure domains, load reports go through relays that collect them.

A report to each instance for each request cost more than the requests. With relays,
what an instance receives must not grow with the fleet, and must still come in time
while relays fail, and beside instances of earlier releases, which read no batches.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from typing import AsyncIterator

import attrs
import pytest

from cicadacourse.load import Assignment, LoadSettings, Role
from cicadacourse.load._batch import is_batch, pack_batch, unpack_batch
from cicadacourse.load._datagram import NO_CAPACITY, Datagram, Relaying
from cicadacourse.load._receivers import choose_batching_receivers
from cicadacourse.membership import Member, MemberState
from cicadacourse.peers import MalformedMessage
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster, MemoryLoad, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_placement.test_placement_retry_after import run, share_served

BATCHED_FROM = 8
SETTINGS = LoadSettings(batched_from=BATCHED_FROM, batch_s=0.02)
# A report crosses two links and waits in one batch.
KNOWN_S = 0.06
RATE_PER_INSTANCE = 1.2


def _members(count: int, domains: str = "abc") -> list[Member]:
    return [
        Member(f"n{number}", f"10.0.0.{number}:1", failure_domain=domains[number % 3])
        for number in range(count)
    ]


def test_the_largest_instances_relay_and_take_turns() -> None:
    members = _members(30)
    capacity_by_name = {item.name: 500 for item in members}
    for name in ("n3", "n6", "n4", "n7", "n5", "n8"):
        capacity_by_name[name] = 2150
    chosen = [
        choose_batching_receivers(members[0], members, n, capacity_by_name, 8)
        for n in range(2)
    ]
    assert not any(item.direct or item.relays for item in chosen)
    names = [{member.name for member in item.batching} for item in chosen]
    assert names[0] | names[1] == {"n3", "n6", "n4", "n7", "n5", "n8"}
    assert len(names[0]) == len(names[1]) == 3


@pytest.mark.parametrize(
    ("size", "able", "state", "batching"),
    [
        (30, 30, MemberState.ALIVE, 3),
        # Small domains, and those with one relay, get reports as before.
        (21, 21, MemberState.ALIVE, 0),
        (30, 3, MemberState.ALIVE, 0),
        (30, 0, MemberState.ALIVE, 0),
        (30, 30, MemberState.SUSPECT, 0),
    ],
)
def test_reports_go_without_relays_where_there_are_none(
    size: int, able: int, state: MemberState, batching: int
) -> None:
    members = [attrs.evolve(item, state=state) for item in _members(size)]
    capacity_by_name = {item.name: 500 for item in members[:able]}
    chosen = choose_batching_receivers(members[0], members, 1, capacity_by_name, 8)
    assert len(chosen.batching) == batching
    assert bool(chosen.direct) == (batching == 0)


@pytest.mark.parametrize("seed", range(20))
def test_any_bytes_are_a_batch_or_malformed(seed: int) -> None:
    chooser = random.Random(seed)
    reports = [chooser.randbytes(chooser.randrange(300)) for _ in range(5)]
    packed = pack_batch(reports)
    assert is_batch(packed) and unpack_batch(packed) == reports
    for _ in range(50):
        cut = packed[: chooser.randrange(1, len(packed))]
        with contextlib.suppress(MalformedMessage):
            assert len(unpack_batch(cut)) <= len(reports)


def test_an_earlier_release_reads_a_report_with_a_capacity() -> None:
    datagram = Datagram(
        Relaying.IN_BATCH, 1, 2, 3, 4, 5, 6, b"body", 7, b"facts", capacity=2150
    )
    assert Datagram.unpack(datagram.pack()) == datagram
    without = attrs.evolve(datagram, capacity=NO_CAPACITY)
    # The capacity stands behind the body, which earlier releases read over.
    assert datagram.pack().startswith(without.pack()[: len(b"body")])
    assert Datagram.unpack(without.pack()) == without


@contextlib.asynccontextmanager
async def _cluster(
    instances: int, endpoints: int = 24
) -> AsyncIterator[GatewayCluster]:
    async with gateway_cluster(
        instances, make_endpoints(endpoints), sections=[SETTINGS]
    ) as cluster:
        # Until each has heard a report of each other one.
        await asyncio.sleep(8.0)
        yield cluster


@contextlib.contextmanager
def _counting(cluster: GatewayCluster) -> AsyncIterator[Counter[str]]:
    """Counts the datagrams that each instance receives."""
    counts: Counter[str] = Counter()
    deliver = GatewayCluster.deliver

    def count(self: GatewayCluster, source: str, target: str, data: bytes) -> None:
        counts[target] += 1
        deliver(self, source, target, data)

    GatewayCluster.deliver = count  # type: ignore[method-assign]  # until the end
    try:
        yield counts
    finally:
        GatewayCluster.deliver = deliver  # type: ignore[method-assign]


async def _received_per_s(instances: int, seconds: float) -> float:
    async with _cluster(instances, instances) as cluster:
        with _counting(cluster) as counts:
            rate = RATE_PER_INSTANCE * instances
            replies = await cluster.load(rate, seconds)
        assert share_served(replies) >= 0.98
        return counts.total() / instances / seconds


def test_what_an_instance_receives_does_not_grow_with_the_fleet() -> None:
    """48 instances got twice as many datagrams each as 24."""
    received: list[float] = []
    for instances, seconds in ((24, 3.0), (48, 2.0), (96, 1.0)):

        async def measure() -> None:
            received.append(await _received_per_s(instances, seconds))

        run(measure)
    # Two relays that take turns each send at most a batch in 20 ms.
    assert max(received) <= 2 / SETTINGS.batch_s
    assert received[2] <= 1.5 * received[1]


async def _knows(cluster: GatewayCluster, sender: str, changes: int = 4) -> float:
    """Returns the share of the changes at one instance that others know in time."""
    known, asked = 0, 0
    for number in range(changes):
        load: MemoryLoad = cluster.memory.get(sender, "load")
        endpoint = f"engines-{number}"
        assignment = Assignment(endpoint, Role.DECODE, now(), is_prefilled=True)
        with load.track(assignment):
            await asyncio.sleep(KNOWN_S)
            for name, app in cluster.memory.application_by_name.items():
                is_frozen = cluster.memory.address(name) in cluster.frozen
                if name != sender and not is_frozen:
                    streams = app.get("load").table.load_of(endpoint, now())
                    known += streams.decode_streams
                    asked += 1
        await asyncio.sleep(KNOWN_S)
    return known / asked


def _relays(cluster: GatewayCluster) -> list[str]:
    app = cluster.memory.get("n1", "load").app
    own, members = (
        app.get("membership").self_member(),
        app.get("membership").members(),
    )
    capacity_by_name = {item.name: 1000 for item in members}
    return [
        relay.name
        for number in range(2)
        for relay in choose_batching_receivers(
            own, members, number, capacity_by_name, BATCHED_FROM
        ).batching
    ]


async def _known_to_all() -> None:
    async with _cluster(30) as cluster:
        assert await _knows(cluster, "n1") == 1.0
        assert await _knows(cluster, _relays(cluster)[0]) == 1.0


def test_all_instances_know_a_change_within_a_batch() -> None:
    run(_known_to_all)


async def _relay_fails(fault: str) -> None:
    async with _cluster(30) as cluster:
        relay = _relays(cluster)[0]
        sender = next(
            name for name in cluster.memory.application_by_name if name != relay
        )
        if fault == "frozen":
            cluster.freeze(relay)
        elif fault == "killed":
            await cluster.kill(relay)
        else:
            network, memory = cluster.memory.network, cluster.memory
            others = [item for item in memory.application_by_name if item != relay]
            network.partition(memory.addresses([relay]), memory.addresses(others))
        # While it is not known, every second report is lost in one domain.
        at_first = await _knows(cluster, sender)
        assert at_first >= 0.6
        await asyncio.sleep(12.0)
        assert await _knows(cluster, sender) >= (29 - 1 if fault == "cut" else 29) / 29


@pytest.mark.parametrize("fault", ["frozen", "killed", "cut"])
def test_a_relay_that_fails_is_passed_over(fault: str) -> None:
    run(_relay_fails, fault)


async def _mixed_releases() -> None:
    async with _cluster(30) as cluster:
        earlier = [f"n{number}" for number in range(0, 30, 2)]
        for name in earlier:
            load: MemoryLoad = cluster.memory.get(name, "load")
            load._settings = load._sender._settings = LoadSettings()
        for app in cluster.memory.applications:
            for name in earlier:
                app.get("load")._sender.forget(name)
        for name in ("n0", "n1"):
            assert await _knows(cluster, name) == 1.0


def test_instances_that_read_no_batches_get_reports_one_by_one() -> None:
    """Half of a fleet runs an earlier release while another one is rolled out."""
    run(_mixed_releases)
