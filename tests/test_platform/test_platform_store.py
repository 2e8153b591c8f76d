"""Tests of instances while the store is down, loses records or refuses one of them."""

from __future__ import annotations

import contextlib
import json
from typing import AsyncIterator

from returns.result import Failure

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.load import FetchConfiguration
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


@contextlib.asynccontextmanager
async def two_instances() -> AsyncIterator[tuple[Fleet, Instance, Instance]]:
    """Runs a deployment with two instances that know each other as members."""
    async with running_fleet() as fleet:
        first = make_instance(fleet, "one", next_host())
        second = make_instance(
            fleet, "two", next_host(), seeds=(f"{first.host}:{first.caller_port}",)
        )
        async with running_instance(first), running_instance(second):
            for item in (first, second):
                membership = item.app.get("membership")
                await wait_until(lambda: len(membership.members()) == 2)
            yield fleet, first, second


async def test_serves_while_the_store_does_not_respond_and_catches_up_after() -> None:
    async with two_instances() as (fleet, first, _):
        fleet.store.faults = StoreFaults(outage="silent")
        assert (await Caller(first).request("/book/x")).status == 200
        fleet.configure(make_configuration(2))
        fleet.store.faults = StoreFaults()
        catalog_service = first.app.get("catalog")
        await wait_until(lambda: catalog_service.catalog.version == 2)


async def test_fetches_a_configuration_from_another_instance_if_refused_alone() -> None:
    async with two_instances() as (fleet, first, second):
        hosts = frozenset({"127.0.0.1", second.host})
        fleet.store.faults = StoreFaults(outage="busy", affected_hosts=hosts)
        first.app.get("feed").apply_configuration(_encode_configuration(5), "test")
        await wait_until(lambda: second.app.get("catalog").catalog.version == 5)


async def test_fetches_the_registry_from_another_instance_if_refused_at_start() -> None:
    """Guards a start at which the store answered some of the instances late."""
    async with running_fleet() as fleet:
        first = make_instance(fleet, "a", next_host())
        async with running_instance(first):
            seeds = (f"{first.host}:{first.caller_port}",)
            second = make_instance(fleet, "b", next_host(), seeds, domain="b")
            hosts = frozenset({"127.0.0.1", second.host})
            fleet.store.faults = StoreFaults(outage="busy", affected_hosts=hosts)
            async with running_instance(second):
                assert len(second.app.get("catalog").registry) == 5
                assert (await Caller(second).request("/book/x")).status == 200


async def test_reads_the_store_itself_if_no_neighbour_can_be_reached() -> None:
    """Guards the case that the neighbour to fetch from has just been killed."""
    async with running_fleet() as fleet:
        instances = [make_instance(fleet, name, next_host()) for name in "abcd"]
        seeds = (f"{instances[0].host}:{instances[0].caller_port}",)
        instances[1:] = [
            make_instance(
                fleet, item.app.get("membership").self_member().name, item.host, seeds
            )
            for item in instances[1:]
        ]
        async with contextlib.AsyncExitStack() as stack:
            for item in instances:
                await stack.enter_async_context(running_instance(item))
            for item in instances:
                membership = item.app.get("membership")
                await wait_until(lambda: len(membership.members()) == 4)
            await wait_until(lambda: _non_readers(instances))
            non_readers = _non_readers(instances)
            _fail_fetches(non_readers[0])
            fleet.configure(make_configuration(7))
            catalog_service = non_readers[0].app.get("catalog")
            await wait_until(lambda: catalog_service.catalog.version == 7)


def _non_readers(instances: list[Instance]) -> list[Instance]:
    """Returns the instances for which neighbours read the store."""
    return [item for item in instances if not item.app.get("feed").is_store_reader()]


def _fail_fetches(instance: Instance) -> None:
    """Makes every fetch of a configuration by an instance fail."""
    peers = instance.app.get("peers")
    call = peers.call

    async def call_or_fail(address: str, request: object, timeout_s: float) -> object:
        if isinstance(request, FetchConfiguration):
            return Failure(Error(ErrorKind.PEER_UNREACHABLE, "killed"))
        return await call(address, request, timeout_s)

    peers.call = call_or_fail


async def test_keeps_lapsed_entries_until_they_could_be_registered_again() -> None:
    async with two_instances() as (fleet, first, _):
        registry = first.app.get("catalog").registry
        fleet.store.faults = StoreFaults(outage="busy")
        await _wait_until_lost(first)
        removed = fleet.remove("plain-0")
        restored = fleet.remove("plain-1")
        fleet.store.faults = StoreFaults()
        await _wait_until_followed(first)
        assert len(registry.ready("plain")) == 2
        fleet.endpoint_by_id[restored.worker.id] = restored
        fleet.register(restored)
        await wait_until(lambda: removed.worker.id not in registry)
        assert restored.worker.id in registry


async def test_removes_an_entry_that_is_deleted_while_the_store_is_up() -> None:
    async with two_instances() as (fleet, first, _):
        fleet.remove("plain-0")
        registry = first.app.get("catalog").registry
        await wait_until(lambda: "plain-0" not in registry)
        assert "plain-1" in registry


async def test_reads_a_snapshot_if_records_were_deleted_before_they_were_read() -> None:
    async with two_instances() as (fleet, first, _):
        fleet.store.faults = StoreFaults(outage="busy")
        await _wait_until_lost(first)
        fleet.add_plain_service("plain-9")
        fleet.store.delete_records("keyed.servers")
        fleet.store.faults = StoreFaults()
        await wait_until(lambda: "plain-9" in first.app.get("catalog").registry)


async def test_malformed_registry_entries_are_ignored() -> None:
    async with two_instances() as (fleet, first, _):
        for number, value in enumerate(
            (b"\xff\x00", b"[]", b'{"service":7}', b'{"service":"plain"}', b"null")
        ):
            fleet.store.put("keyed.servers", f"bad-{number}", value)
        fleet.add_plain_service("plain-9")
        registry = first.app.get("catalog").registry
        await wait_until(lambda: "plain-9" in registry)
        assert not {item for item in registry.ids() if item.startswith("bad")}
        assert (await Caller(first).request("/book/x")).status == 200


async def test_invalid_entries_of_a_configuration_are_left_out() -> None:
    async with two_instances() as (fleet, first, _):
        configuration = make_configuration(2)
        configuration["routes"].append({"name": "torn"})
        configuration["tenants"].append(7)
        configuration["unknown"] = {"ignored": True}
        fleet.configure(configuration)
        catalog_service = first.app.get("catalog")
        await wait_until(lambda: catalog_service.catalog.version == 2)
        assert len(catalog_service.catalog.routes) == 3
        assert (await Caller(first).request("/book/x")).status == 200


def _encode_configuration(version: int) -> bytes:
    return json.dumps(make_configuration(version)).encode()


async def _wait_until_lost(instance: Instance) -> None:
    metrics = instance.app.metrics
    topic = "keyed.servers"
    await wait_until(lambda: metrics.value("store_reachable", topic=topic) == 0)


async def _wait_until_followed(instance: Instance) -> None:
    metrics = instance.app.metrics
    topic = "keyed.servers"
    await wait_until(lambda: metrics.value("store_reachable", topic=topic) == 1)
