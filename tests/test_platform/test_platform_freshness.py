"""Tests of requests that arrive while the configuration may be out of date."""

from __future__ import annotations

import asyncio

import looptime
import pytest

from cicadacourse.catalog import CatalogSettings
from cicadacourse.events import CATALOG_VERSION_RECEIVED
from cicadacourse.exchange import CallerRequest
from cicadacourse.util.clock import now
from standins.platform import Fleet, StoreFaults, make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)
from tests.test_gateway.test_gateway_histories import HOST, FakeReply, make_app

# Reads of the configuration wait for 0.3 s at most.
LONGEST_READ_S = 0.5
SHORT_BOUND = CatalogSettings(superseded_bound_ms=400)
# Longer than the bound and the reads that were in progress.
LONGER_THAN_BOUND_S = 0.9


async def lose_newer_version(fleet: Fleet, instance: Instance) -> None:
    """Reports a newer version that the instance can't get from anyone.

    Reads of the store that are in progress end before, as they would disprove it.
    """
    fleet.store.faults = StoreFaults(outage="silent")
    await asyncio.sleep(LONGEST_READ_S)
    report_newer_version(instance)


def report_newer_version(instance: Instance) -> None:
    """Reports a newer version, as a load report does."""
    instance.app.events.emit(CATALOG_VERSION_RECEIVED, "unreachable", 2)


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/nowhere/x", "k-acme", 404), ("/book/x", "new", 401)]
)
async def test_a_request_is_not_denied_by_a_configuration_known_to_be_superseded(
    path: str, key: str, status: int
) -> None:
    """Proper requests were answered 404 and 401 by instances versions behind.

    These knew from the others' reports that newer versions existed.
    """
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            caller = Caller(instance)
            assert (await caller.request(path, key=key)).status == status
            await lose_newer_version(fleet, instance)
            response = await caller.request(path, key=key)
            assert response.status == 503
            assert float(response.headers["retry-after"]) < 1.0


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/nowhere/x", "k-acme", 404), ("/book/x", "new", 401)]
)
async def test_a_request_is_not_denied_by_an_instance_that_hears_of_no_versions(
    path: str, key: str, status: int
) -> None:
    """An instance that reaches neither the store nor another one may be behind.

    What its version allows is served on: the store may be down for every instance.
    """
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host(), sections=(SHORT_BOUND,))
        async with running_instance(instance):
            caller = Caller(instance)
            assert (await caller.request(path, key=key)).status == status
            fleet.store.faults = StoreFaults(outage="silent")
            await asyncio.sleep(LONGER_THAN_BOUND_S)
            assert (await caller.request(path, key=key)).status == 503
            assert (await caller.request("/book/x")).status == 200


async def test_nothing_is_served_by_a_version_that_was_superseded_long_ago() -> None:
    """Keys that were taken away were served by instances versions behind."""
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host(), sections=(SHORT_BOUND,))
        async with running_instance(instance):
            caller = Caller(instance)
            await lose_newer_version(fleet, instance)
            assert (await caller.request("/book/x")).status == 200
            await asyncio.sleep(LONGER_THAN_BOUND_S)
            assert (await caller.request("/book/x")).status == 503
            assert fleet.count_runs(caller.sent_ids[-1]) == 0
            assert not instance.app.get("probes").is_ready()


async def test_a_denial_waits_for_the_version_that_allows_the_request() -> None:
    """A request for a new route may reach an instance before the route does."""
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            caller = Caller(instance)
            fleet.store.faults = StoreFaults(delay_s=0.15)
            configuration = make_configuration(2)
            new_route = {**configuration["routes"][1], "pathPrefix": "/new/"}
            configuration["routes"].append({**new_route, "name": "new"})
            fleet.configure(configuration)
            report_newer_version(instance)
            assert (await caller.request("/new/x")).status == 200


async def test_a_newest_version_that_can_not_be_read_leaves_no_evidence() -> None:
    """The version in force counted as the newest, though a later one was written."""
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            freshness = instance.app.get("catalog").freshness
            read_at = freshness.read_at
            await wait_until(lambda: freshness.read_at > read_at)
            fleet.store.put("keyed.op", "config", b"not a configuration")
            await asyncio.sleep(LONGEST_READ_S)
            read_at = freshness.read_at
            await asyncio.sleep(2 * LONGEST_READ_S)
            assert freshness.read_at == read_at


async def _deny_with_little_time() -> None:
    app = make_app()
    app.events.emit(CATALOG_VERSION_RECEIVED, "other", 2)
    request = CallerRequest(
        id="r",
        method="POST",
        host=HOST,
        target="/nowhere/x",
        key=None,
        arrived=now(),
        timeout_s=0.3,
        last_event_id=None,
        prompt=None,
        headers=(),
        body=b"",
    )
    reply = FakeReply()
    await app.get("gateway").handle(request, reply)
    assert reply.status == 503
    assert reply.ended_at - request.arrived == pytest.approx(0.15)


def test_a_denial_waits_for_at_most_half_of_a_short_time_limit() -> None:
    """A longer wait leaves no time to serve the request by the newer version."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(_deny_with_little_time())
