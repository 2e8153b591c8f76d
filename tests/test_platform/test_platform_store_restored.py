"""The store comes back from an older copy: offsets go back, nothing reverts."""

from __future__ import annotations

import asyncio

import attrs
from returns.result import Success

from cicadacourse.catalog import EndpointState
from cicadacourse.platform import StoreSettings
from cicadacourse.platform._names import TOPIC_INSTANCES
from cicadacourse.platform._store import StoreClient
from standins.platform import PLAIN_POOL, Fleet, StoreFaults, make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)


async def _restore(fleet: Fleet, copy: object) -> None:
    """Takes the store away for a moment, then starts it again from a copy."""
    fleet.store.faults = StoreFaults(outage="reset")
    await asyncio.sleep(0.1)
    fleet.store.restore(copy)
    fleet.store.faults = StoreFaults()


async def test_offsets_that_are_given_out_again_hide_no_record() -> None:
    """Records at offsets that had been read before the loss were skipped."""
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            copy = fleet.store.take_copy()
            endpoint = fleet.endpoint_by_id["plain-0"]
            for _ in range(20):
                fleet.register(endpoint)
            await asyncio.sleep(0.4)
            fleet.store.faults = StoreFaults(outage="reset")
            fleet.store.restore(copy)
            fleet.add_plain_service("between")
            del fleet.endpoint_by_id["between"]
            for _ in range(200):
                fleet.register(endpoint)
            fleet.store.faults = StoreFaults()
            registry = instance.app.get("catalog").registry
            await wait_until(lambda: registry.find("between"))


async def test_the_next_configuration_is_put_in_force_everywhere() -> None:
    async with running_fleet() as fleet:
        instances = [make_instance(fleet, name, next_host()) for name in ("one", "two")]
        async with running_instance(instances[0]), running_instance(instances[1]):
            copy = fleet.store.take_copy()
            for version in range(2, 9):
                fleet.configure(make_configuration(version))
            catalogs = [item.app.get("catalog") for item in instances]
            await wait_until(lambda: all(c.catalog.version == 8 for c in catalogs))
            await _restore(fleet, copy)
            fleet.configure(make_configuration(9))
            await wait_until(lambda: all(c.catalog.version == 9 for c in catalogs))


async def test_an_older_configuration_of_the_copy_is_not_put_in_force() -> None:
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            copy = fleet.store.take_copy()
            fleet.configure(make_configuration(2))
            catalog_service = instance.app.get("catalog")
            await wait_until(lambda: catalog_service.catalog.version == 2)
            await _restore(fleet, copy)
            await asyncio.sleep(0.6)
            assert catalog_service.catalog.version == 2
            assert (await Caller(instance).request("/look/x")).status == 200


async def test_an_endpoint_that_left_since_the_copy_gets_nothing() -> None:
    async with running_fleet(engines=0, plain_services=3) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            registry = instance.app.get("catalog").registry
            await wait_until(lambda: len(registry.ready(PLAIN_POOL)) == 3)
            copy = fleet.store.take_copy()
            leaving = fleet.endpoint_by_id["plain-0"]
            leaving.state = "draining"
            fleet.register(leaving)
            gone = fleet.remove("plain-1")
            await wait_until(lambda: len(registry.ready(PLAIN_POOL)) == 1)
            del fleet.endpoint_by_id["plain-0"]
            await _restore(fleet, copy)
            before = len(leaving.worker.arrivals) + len(gone.worker.arrivals)
            caller = Caller(instance)
            for _ in range(12):
                assert (await caller.request("/look/x")).status == 200
                await asyncio.sleep(0.05)
            assert len(leaving.worker.arrivals) + len(gone.worker.arrivals) == before
            assert registry.find("plain-0").state is EndpointState.LEAVING


async def test_an_endpoint_that_registered_since_the_copy_stays_in_use() -> None:
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            registry = instance.app.get("catalog").registry
            copy = fleet.store.take_copy()
            fleet.add_plain_service("later")
            await wait_until(lambda: registry.find("later"))
            await _restore(fleet, copy)
            for _ in range(20):
                assert registry.find("later")
                await asyncio.sleep(0.03)


async def test_an_instance_announces_itself_again() -> None:
    async with running_fleet() as fleet:
        copy = fleet.store.take_copy()
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            await wait_until(
                lambda: fleet.store.read_newest(TOPIC_INSTANCES, "")["items"]
            )
            await _restore(fleet, copy)
            assert not fleet.store.read_newest(TOPIC_INSTANCES, "")["items"]
            await wait_until(
                lambda: fleet.store.read_newest(TOPIC_INSTANCES, "")["items"]
            )


async def test_a_read_from_an_offset_of_before_asks_for_a_snapshot() -> None:
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        settings = attrs.evolve(instance.app.settings.get(StoreSettings))
        client = StoreClient(settings, instance.app.metrics)
        position = (await client.read_newest("keyed.op")).unwrap().end
        fleet.store.restore(fleet.store.take_copy())
        for version in range(2, 6):
            fleet.configure(make_configuration(version))
        match await client.read("keyed.op", position, 0.0):
            case Success(batch):
                assert batch.is_trimmed
        newest = (await client.read_newest("keyed.op")).unwrap()
        assert newest.end > position
        client.close()
