"""The faults of a soak; each disturbs something for some seconds and then mends it."""

from __future__ import annotations

import asyncio
import signal
from typing import Awaitable, Callable

import attrs

from cicadacourse.registry import Registry
from soak._instances import InstanceProcess
from soak._proxy import LinkState, Proxy
from soak._world import SoakEnvironment
from standins.platform import StoreFaults, WorkerFaults

Fault = Callable[[SoakEnvironment, float], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")

LINK_FAULTS = (
    LinkState.DELAY,
    LinkState.RESET,
    LinkState.CUT_THERE,
    LinkState.CUT_BACK,
    LinkState.SILENT,
)
MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0


@attrs.frozen
class Planned:
    """One fault of a schedule.

    :param at: when it begins, in seconds from the start.
    :param name: which one.
    :param for_s: how long it lasts.
    """

    at: float
    name: str
    for_s: float


def plan(world: SoakEnvironment, seconds: float) -> list[Planned]:
    """Draws a schedule in which faults follow each other and overlap."""
    planned = []
    at = world.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while at < seconds:
        name = world.random.choice(FAULTS.names())
        for_s = world.random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        planned.append(Planned(round(at, 2), name, round(for_s, 2)))
        at += world.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return planned


async def inject(world: SoakEnvironment, planned: list[Planned]) -> None:
    """Carries out a schedule; returns when its last fault is mended."""
    started = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for item in planned:
            passed = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, item.at - passed))
            group.create_task(FAULTS.get(item.name)(world, item.for_s))


def _any_instance(world: SoakEnvironment) -> InstanceProcess:
    return world.random.choice(world.instances)


def _any_endpoint(world: SoakEnvironment) -> str:
    return world.random.choice(sorted(world.fleet.endpoint_by_id))


@FAULTS.register("restart")
async def restart(world: SoakEnvironment, for_s: float) -> None:
    """Stops an instance with SIGTERM and starts it again."""
    instance = _any_instance(world)
    with instance.fault_window.open():
        await instance.stop()
        await asyncio.sleep(for_s / 4)
        await instance.start()


@FAULTS.register("kill")
async def kill(world: SoakEnvironment, for_s: float) -> None:
    """Kills an instance and starts it again."""
    instance = _any_instance(world)
    with instance.fault_window.open():
        await instance.kill()
        await asyncio.sleep(for_s / 4)
        await instance.start()


@FAULTS.register("kill-all")
async def kill_all(world: SoakEnvironment, for_s: float) -> None:
    """Kills every instance right after a change of the configuration."""
    world.change_keys(world.keys)
    await asyncio.sleep(for_s / 10)
    await asyncio.gather(*(_kill_one(item) for item in world.instances))


async def _kill_one(instance: InstanceProcess) -> None:
    with instance.fault_window.open():
        await instance.kill()
        await asyncio.sleep(MIN_FAULT_S)
        await instance.start()


@FAULTS.register("freeze")
async def freeze(world: SoakEnvironment, for_s: float) -> None:
    """Suspends an instance's process for a while."""
    instance = _any_instance(world)
    with instance.fault_window.open():
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        instance.send(signal.SIGCONT)


@FAULTS.register("store-link")
async def store_link(world: SoakEnvironment, for_s: float) -> None:
    """Disturbs one instance's link to the store."""
    instance = _any_instance(world)
    with instance.fault_window.open():
        await _disturb(world, instance.store_link, for_s)


@FAULTS.register("endpoint-link")
async def endpoint_link(world: SoakEnvironment, for_s: float) -> None:
    """Disturbs the link to one endpoint."""
    await _disturb(world, world.link_by_endpoint[_any_endpoint(world)], for_s)


async def _disturb(world: SoakEnvironment, link: Proxy, for_s: float) -> None:
    link.set(world.random.choice(LINK_FAULTS))
    await asyncio.sleep(for_s)
    link.set(LinkState.PASS)


@FAULTS.register("store-down")
async def take_store_down(world: SoakEnvironment, for_s: float) -> None:
    """Takes the whole store away."""
    await _store_fault(world, for_s, down=world.random.choice(["busy", "reset"]))


@FAULTS.register("store-lossy")
async def make_store_lossy(world: SoakEnvironment, for_s: float) -> None:
    """Makes the store slow and loses answers to appends."""
    await _store_fault(world, for_s, delay_s=0.3, lost_answers=0.5)


async def _store_fault(world: SoakEnvironment, for_s: float, **faults: object) -> None:
    with world.store_fault_window.open():
        world.fleet.store.faults = StoreFaults(**faults)
        await asyncio.sleep(for_s)
        world.fleet.store.faults = StoreFaults()


@FAULTS.register("store-forgets")
async def store_forgets(world: SoakEnvironment, for_s: float) -> None:
    """Deletes the store's history; the newest record of each key stays."""
    for topic in ("keyed.servers", "keyed.op"):
        world.fleet.store.delete_records(topic)


@FAULTS.register("failing-endpoint")
async def failing_endpoint(world: SoakEnvironment, for_s: float) -> None:
    """Lets an endpoint fail a part of its work while it stays listed."""
    listed = world.fleet.endpoint_by_id[_any_endpoint(world)]
    listed.worker.faults = WorkerFaults(errors=0.3, resets=0.3, cuts=0.3, extra=0.1)
    await asyncio.sleep(for_s)
    listed.worker.faults = WorkerFaults()


@FAULTS.register("replaced-endpoint")
async def replaced_endpoint(world: SoakEnvironment, for_s: float) -> None:
    """Lets an endpoint leave and puts a new one in its place."""
    id = _any_endpoint(world)
    listed = world.fleet.endpoint_by_id[id]
    listed.state = "draining"
    world.fleet.register(listed)
    await world.add_endpoint(is_engine=listed.worker.engine is not None)
    await asyncio.sleep(for_s)
    if id in world.fleet.endpoint_by_id:
        world.fleet.remove(id)


@FAULTS.register("new-keys")
async def new_keys(world: SoakEnvironment, for_s: float) -> None:
    """Adds a key to the organisation and takes its oldest away."""
    world.change_keys([*world.keys, f"key-{world.version}"])
    await asyncio.sleep(for_s)
    world.change_keys(world.keys[-1:])
