"""Tests of fetching the configuration from other instances.

All instances of a failure domain fetch a new version from the one that read it first,
over its link alone.
"""

from __future__ import annotations

import asyncio

import logbook
import pytest

from cicadacourse.logs import FETCH_FAILED
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
