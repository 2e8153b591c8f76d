"""Tests of fetching the configuration from other instances.

All instances of a failure domain fetch a new version from the one that read it first,
over its link alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from typing import Any, AsyncIterator

import attrs
import logbook
import pytest
from returns.result import Result, Success

from cicadacourse.application import Application
from cicadacourse.events import REGISTRY_OFFSET_RECEIVED
from cicadacourse.feed._configuration_fetcher import WHOLE_FETCH_TIMEOUT_S
from cicadacourse.feed._delta import make_delta
from cicadacourse.feed._fetcher import FETCH_TIMEOUT_S
from cicadacourse.load import Configuration, FetchConfiguration
from cicadacourse.logs import FETCH_FAILED
from cicadacourse.peers import encode
from cicadacourse.util.clock import now
from tests.test_feed.relay_cluster import (
    encode_configuration,
    relaying,
    report_version,
    version_of,
)

NEIGHBOURS = [f"n{number}" for number in range(26)]
LINK_BYTES_PER_S = 1_250_000
MAX_LINK_S = 0.1
REPLY = "load.Configuration"
FEW_ROUTES = 40
# The largest configuration that the store accepts.
MAX_CONFIGURATION_BYTES = 262_144

pytestmark = pytest.mark.looptime(noop_cycles=2)


async def test_a_changed_route_does_not_fill_the_link_of_the_instance_that_has_it():
    """Guards against sending the whole configuration to each neighbour.

    That took the source's link several seconds for each version, so that neighbours
    stayed versions behind and the source could not be reached meanwhile.
    """
    async with relaying(["source", *NEIGHBOURS]) as cluster:
        for app in cluster.applications:
            app.get("feed").apply_configuration(encode_configuration(1), "test")
        source = cluster.application_by_name["source"]
        source.get("feed").apply_configuration(encode_configuration(2), "test")
        for name in NEIGHBOURS:
            report_version(cluster.application_by_name[name], "source", 2)
        await asyncio.sleep(5)
        assert {version_of(app) for app in cluster.applications} == {2}
        sent = source.metrics.value("peer_bytes_sent_total", message=REPLY)
        assert 0 < sent < MAX_LINK_S * LINK_BYTES_PER_S


async def test_fetches_that_fail_are_logged_at_most_once_a_second():
    async with relaying(["asker", "source"]) as cluster:
        asker = cluster.application_by_name["asker"]
        addresses = cluster.addresses(["asker", "source"])
        cluster.network.partition(addresses[:1], addresses[1:])
        with logbook.TestHandler() as handler:
            for _ in range(20):
                report_version(asker, "source", 2)
                await asyncio.sleep(0.1)
        rows = [item for item in handler.records if item.message == FETCH_FAILED.text]
        assert 1 <= len(rows) <= 2
        assert rows[0].extra["subject"] == "configuration"
        assert rows[0].extra["source"] == "source"
        assert "no answer" in rows[0].extra["reason"]


@attrs.define
class Pair:
    """Two neighbours, of which one fetches from the other.

    :ivar requests: what the asker sent, with the time limit of each.
    :ivar replies: what it receives in place of the source's replies, in this order.
    """

    asker: Application
    source: Application
    requests: list[tuple[FetchConfiguration, float]] = attrs.field(factory=list)
    replies: list[Configuration] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        peers = self.asker.get("peers")
        call = peers.call

        async def record(address: str, request: Any, timeout_s: float) -> Result:
            if isinstance(request, FetchConfiguration):
                self.requests.append((request, timeout_s))
                if self.replies:
                    return Success(self.replies.pop(0))
            return await call(address, request, timeout_s)

        peers.call = record

    async def fetch(self, version: int) -> None:
        """Lets the asker hear of a version at the source, and waits."""
        report_version(self.asker, "source", version)
        await asyncio.sleep(2)

    @property
    def held_versions(self) -> list[int]:
        """The versions with which the asker asked."""
        return [request.version for request, _ in self.requests]

    @property
    def value(self) -> bytes | None:
        """The configuration in force at the asker."""
        return self.asker.get("feed").configuration_history.value


@contextlib.asynccontextmanager
async def running_pair(
    asker_versions: tuple[int, ...], source_versions: tuple[int, ...]
) -> AsyncIterator[Pair]:
    """Runs two neighbours that had these versions in force, one after the other."""
    async with relaying(["asker", "source"]) as cluster:
        pair = Pair(*cluster.applications)
        for app, versions in (
            (pair.asker, asker_versions),
            (pair.source, source_versions),
        ):
            for version in versions:
                app.get("feed").apply_configuration(value_of(version), "test")
        yield pair


def value_of(version: int) -> bytes:
    """Returns a small configuration."""
    return encode_configuration(version, FEW_ROUTES)


async def test_an_instance_that_is_some_versions_behind_fetches_the_difference():
    async with running_pair((1,), (1, 2, 3, 7)) as pair:
        await pair.fetch(7)
        assert pair.value == value_of(7)
        assert pair.held_versions == [1]
        sent = pair.source.metrics.value("peer_bytes_sent_total", message=REPLY)
        assert sent < 1000


@pytest.mark.parametrize(
    "asker_versions, source_versions",
    [((), (2,)), ((1,), (2,)), ((1,), (2, 3)), ((1,), (1, *range(3, 30)))],
    ids=["just started", "source restarted", "unknown to the source", "dropped"],
)
async def test_a_version_that_the_source_does_not_hold_is_replaced_whole(
    asker_versions: tuple[int, ...], source_versions: tuple[int, ...]
):
    newest = source_versions[-1]
    async with running_pair(asker_versions, source_versions) as pair:
        await pair.fetch(newest)
        assert pair.value == value_of(newest)
        assert len(pair.requests) == 1


async def test_a_source_that_restarts_serves_the_version_that_it_fetched_back():
    async with relaying(["asker", "source"]) as cluster:
        for app in cluster.applications:
            app.get("feed").apply_configuration(value_of(1), "test")
        asker = cluster.application_by_name["asker"]
        await cluster.stop("source")
        source = await cluster.start("source")
        await asyncio.sleep(10)
        report_version(source, "asker", 1)
        await asyncio.sleep(2)
        assert version_of(source) == 1
        source.get("feed").apply_configuration(value_of(2), "test")
        report_version(asker, "source", 2)
        await asyncio.sleep(2)
        assert version_of(asker) == 2


async def test_a_base_that_differs_under_the_same_version_is_replaced_whole():
    async with running_pair((), (1, 2)) as pair:
        other = encode_configuration(1, FEW_ROUTES + 1)
        pair.asker.get("feed").apply_configuration(other, "test")
        with logbook.TestHandler() as handler:
            await pair.fetch(2)
        assert pair.value == value_of(2)
        assert pair.held_versions == [1, 0]
        (row,) = [r for r in handler.records if r.message == FETCH_FAILED.text]
        assert row.extra["reason"] == "the delta has another base"


DELTA = make_delta(value_of(1), value_of(2))


@pytest.mark.parametrize(
    "reply",
    [
        Configuration(),
        Configuration(version=2),
        Configuration(version=2, base_version=1, delta=b"\x00"),
        Configuration(version=2, base_version=1, delta=DELTA[:-1]),
        Configuration(version=2, base_version=1, delta=DELTA + b"\x00"),
        Configuration(version=2, base_version=0, delta=DELTA),
        Configuration(version=2, base_version=5, delta=DELTA),
        Configuration(version=2, base_version=1, delta=make_delta(b"x", value_of(2))),
    ],
)
async def test_the_whole_is_asked_for_if_a_reply_can_not_be_applied(
    reply: Configuration,
):
    async with running_pair((1,), (1, 2)) as pair:
        pair.replies = [reply]
        await pair.fetch(2)
        assert pair.held_versions == [1, 0]
        assert pair.value == value_of(2)


async def test_replies_that_can_not_be_applied_leave_the_version_in_force():
    async with running_pair((1,), (2,)) as pair:
        odd = Configuration(version=2, base_version=1, delta=b"odd")
        pair.replies = [odd, odd, *[Configuration(version=2, value=b"odd")] * 2]
        for _ in range(3):
            report_version(pair.asker, "source", 2)
            await asyncio.sleep(1)
        assert pair.replies == []
        assert pair.value == value_of(1)


@pytest.mark.parametrize(
    "reply",
    [
        Configuration(version=1, base_version=0, delta=make_delta(b"", value_of(1))),
        Configuration(version=3, base_version=0, delta=make_delta(b"", value_of(1))),
        Configuration(value=value_of(1)),
    ],
    ids=["as stated", "with a false version", "of an earlier release"],
)
async def test_a_fetched_version_that_is_not_newer_changes_nothing(
    reply: Configuration,
):
    async with running_pair((1, 2), (1,)) as pair:
        pair.replies = [reply]
        await pair.fetch(3)
        assert pair.value == value_of(2)
        assert pair.held_versions == [2]


async def test_the_reply_of_an_earlier_release_is_applied():
    async with running_pair((1,), (1,)) as pair:
        pair.replies = [Configuration(value=value_of(2))]
        await pair.fetch(2)
        assert pair.value == value_of(2)


async def test_an_instance_of_an_earlier_release_receives_the_whole_value():
    async with running_pair((), (1, 2)) as pair:
        relay = pair.source.get("relay")
        reply = await relay.on_fetch_configuration(FetchConfiguration(sender="old"))
        assert reply.value == value_of(2)


async def test_who_fetches_a_version_does_not_read_older_ones_from_the_store():
    async with running_pair((1,), ()) as pair:
        assert pair.asker.get("feed").configuration_offset == 0
        pair.source.get("feed").apply_configuration(value_of(2), "test", offset=9)
        await pair.fetch(2)
        assert pair.asker.get("feed").configuration_offset == 9


async def test_the_offset_of_a_version_that_can_not_be_read_is_ignored():
    async with running_pair((1,), (2,)) as pair:
        pair.replies = [Configuration(version=2, value=b"odd", offset=9)]
        await pair.fetch(2)
        assert pair.replies == []
        assert pair.asker.get("feed").configuration_offset == 0


async def test_reports_during_a_fetch_start_no_second_one():
    async with running_pair((1,), (1, 2)) as pair:
        for _ in range(5):
            report_version(pair.asker, "source", 2)
        await asyncio.sleep(2)
        assert pair.held_versions == [1]
        assert pair.value == value_of(2)


async def test_a_version_that_arrives_during_a_fetch_does_not_spoil_it():
    """The delta then has a base that is no longer the version in force."""
    async with running_pair((1,), (1, 3)) as pair:
        report_version(pair.asker, "source", 3)
        await asyncio.sleep(0)
        while not pair.requests:
            await asyncio.sleep(0.001)
        pair.asker.get("feed").apply_configuration(value_of(2), "store")
        await asyncio.sleep(2)
        assert pair.value == value_of(3)
        assert pair.held_versions == [1]


def _incompressible_configuration(version: int) -> bytes:
    """Returns the largest configuration, almost all of it random characters."""
    configuration = {**json.loads(value_of(version)), "routes": [], "noise": ""}
    length = MAX_CONFIGURATION_BYTES - len(json.dumps(configuration))
    noise = random.Random(version).choices(range(35, 92), k=length)
    configuration["noise"] = "".join(map(chr, noise))
    return json.dumps(configuration).encode()


async def test_the_largest_whole_reply_passes_a_link_that_is_half_busy():
    async with running_pair((1,), ()) as pair:
        value = _incompressible_configuration(2)
        assert len(value) == MAX_CONFIGURATION_BYTES
        pair.source.get("feed").apply_configuration(value, "test")
        await pair.fetch(2)
        assert pair.value == value
        assert pair.held_versions == [1, 0]
        for request, timeout_s in pair.requests:
            reply = await pair.source.get("relay").on_fetch_configuration(request)
            took_s = len(encode(reply)) / (LINK_BYTES_PER_S / 2)
            assert took_s < 0.8 * timeout_s
        limits = [timeout_s for _, timeout_s in pair.requests]
        assert limits == [FETCH_TIMEOUT_S, WHOLE_FETCH_TIMEOUT_S]


async def test_a_neighbour_that_is_behind_too_is_no_sign_of_being_up_to_date():
    """Where several instances were behind, none read the registry for itself."""
    async with relaying(["one", "ahead", "behind"]) as cluster:
        app = cluster.application_by_name["one"]
        delegation = app.get("feed").read_delegation
        app.get("catalog").mark_registry_known()
        app.get("feed").is_store_reader = lambda: False
        for name in NEIGHBOURS:
            delegation.record_read(name, 0.0, now())
        assert not delegation.is_store_reader("one", ["one", *NEIGHBOURS], now())
        for _ in range(6):
            for name, offset in (("ahead", 7), ("behind", 0)):
                app.events.emit(REGISTRY_OFFSET_RECEIVED, name, offset, 0.1)
            await asyncio.sleep(0.1)
        assert delegation.is_store_reader("one", ["one", *NEIGHBOURS], now())


async def test_a_report_looks_at_no_other_neighbour_while_none_is_ahead():
    """With 80 instances, that took a fifth of an instance's processor time."""
    async with relaying([f"n{number}" for number in range(12)]) as cluster:
        app = cluster.application_by_name["n0"]
        app.get("catalog").mark_registry_known()
        membership, looked_up = app.get("membership"), []
        find = membership.find
        membership.find = lambda name: looked_up.append(name) or find(name)
        for _ in range(50):
            app.events.emit(REGISTRY_OFFSET_RECEIVED, "n1", 0, 0.1)
        assert len(looked_up) <= 50
