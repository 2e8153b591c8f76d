"""The faults of a soak; each impairs one component for a time and then restores it."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Callable, Coroutine

import attrs

from cicadacourse.registry import Registry
from soak._environment import SoakEnvironment
from soak._instances import InstanceProcess
from soak._proxy import LinkState, Proxy
from standins.platform import StoreFaults, WorkerFaults

Fault = Callable[[SoakEnvironment, float], Coroutine[Any, Any, None]]
FAULTS: Registry[Fault] = Registry("fault")

LINK_FAULTS = (
    LinkState.DELAY,
    LinkState.RESET,
    LinkState.CUT_TO_TARGET,
    LinkState.CUT_FROM_TARGET,
    LinkState.CUT_BOTH_WAYS,
)
MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0
MIN_INTERVAL_S = 0.3
MAX_INTERVAL_S = 2.0


def select_faults(*names: str) -> Registry[Fault]:
    """Returns a registry with some faults of this module, for one scenario."""
    selected: Registry[Fault] = Registry("fault")
    for name in names:
        selected.register(name)(FAULTS.get(name))
    return selected


@attrs.frozen
class PlannedFault:
    """One fault of a schedule.

    :param start_s: when it begins, in seconds after the start of the schedule.
    :param name: the name under which the fault is registered.
    :param duration_s: how long it lasts.
    """

    start_s: float
    name: str
    duration_s: float


def plan_faults(
    environment: SoakEnvironment, seconds: float, faults: Registry[Fault] = FAULTS
) -> list[PlannedFault]:
    """Draws a schedule of faults, which may overlap, for the first ``seconds``."""
    planned = []
    start_s = environment.random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    while start_s < seconds:
        name = environment.random.choice(faults.names())
        duration_s = environment.random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        planned.append(PlannedFault(round(start_s, 2), name, round(duration_s, 2)))
        start_s += environment.random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
    return planned


async def inject_faults(
    environment: SoakEnvironment,
    planned: list[PlannedFault],
    faults: Registry[Fault] = FAULTS,
) -> None:
    """Injects the faults of a schedule and returns when the last one has ended."""
    started = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for item in planned:
            elapsed_s = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, item.start_s - elapsed_s))
            group.create_task(faults.get(item.name)(environment, item.duration_s))


def _choose_instance(environment: SoakEnvironment) -> InstanceProcess:
    return environment.random.choice(environment.instances)


def _choose_endpoint_id(environment: SoakEnvironment) -> str:
    return environment.random.choice(sorted(environment.fleet.endpoint_by_id))


@FAULTS.register("restart")
async def restart(environment: SoakEnvironment, duration_s: float) -> None:
    """Stops an instance with SIGTERM and starts it again."""
    instance = _choose_instance(environment)
    with instance.fault_window.open():
        await instance.stop()
        await asyncio.sleep(duration_s / 4)
        await instance.start()


@FAULTS.register("kill")
async def kill(environment: SoakEnvironment, duration_s: float) -> None:
    """Kills an instance and starts it again."""
    instance = _choose_instance(environment)
    with instance.fault_window.open():
        await instance.kill()
        await asyncio.sleep(duration_s / 4)
        await instance.start()


@FAULTS.register("kill-all")
async def kill_all(environment: SoakEnvironment, duration_s: float) -> None:
    """Kills and restarts every instance soon after a new configuration is written."""
    environment.change_keys(environment.keys)
    await asyncio.sleep(duration_s / 10)
    await asyncio.gather(*(_kill_one(item) for item in environment.instances))


async def _kill_one(instance: InstanceProcess) -> None:
    with instance.fault_window.open():
        await instance.kill()
        await asyncio.sleep(MIN_FAULT_S)
        await instance.start()


@FAULTS.register("freeze")
async def freeze(environment: SoakEnvironment, duration_s: float) -> None:
    """Suspends an instance's process with SIGSTOP."""
    instance = _choose_instance(environment)
    with instance.fault_window.open():
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        instance.send(signal.SIGCONT)


@FAULTS.register("store-link")
async def impair_store_link(environment: SoakEnvironment, duration_s: float) -> None:
    """Impairs the link between one instance and the store."""
    instance = _choose_instance(environment)
    with instance.fault_window.open():
        await _impair_link(environment, instance.store_link, duration_s)


@FAULTS.register("endpoint-link")
async def impair_endpoint_link(environment: SoakEnvironment, duration_s: float) -> None:
    """Impairs the link to one endpoint."""
    await _impair_link(
        environment,
        environment.link_by_endpoint_id[_choose_endpoint_id(environment)],
        duration_s,
    )


async def _impair_link(
    environment: SoakEnvironment, link: Proxy, duration_s: float
) -> None:
    link.set(environment.random.choice(LINK_FAULTS))
    await asyncio.sleep(duration_s)
    link.set(LinkState.PASS)


@FAULTS.register("store-down")
async def take_store_down(environment: SoakEnvironment, duration_s: float) -> None:
    """Makes the store unavailable to all instances."""
    outage = environment.random.choice(["busy", "reset"])
    await _apply_store_faults(environment, duration_s, StoreFaults(outage=outage))


@FAULTS.register("store-lossy")
async def make_store_lossy(environment: SoakEnvironment, duration_s: float) -> None:
    """Delays the store's responses and loses half of those to appends."""
    faults = StoreFaults(delay_s=0.3, lost_response_rate=0.5)
    await _apply_store_faults(environment, duration_s, faults)


async def _apply_store_faults(
    environment: SoakEnvironment, duration_s: float, faults: StoreFaults
) -> None:
    with environment.store_fault_window.open():
        environment.fleet.store.faults = faults
        await asyncio.sleep(duration_s)
        environment.fleet.store.faults = StoreFaults()


@FAULTS.register("store-forgets")
async def delete_store_records(environment: SoakEnvironment, duration_s: float) -> None:
    """Deletes the store's records except the newest one of each key."""
    for topic in ("keyed.servers", "keyed.op"):
        environment.fleet.store.delete_records(topic)


@FAULTS.register("failing-endpoint")
async def make_endpoint_fail(environment: SoakEnvironment, duration_s: float) -> None:
    """Lets an endpoint fail a share of its requests while it stays registered."""
    endpoint = environment.fleet.endpoint_by_id[_choose_endpoint_id(environment)]
    endpoint.worker.faults = WorkerFaults(
        error_rate=0.3, reset_rate=0.3, cut_rate=0.3, extra_response_rate=0.1
    )
    await asyncio.sleep(duration_s)
    endpoint.worker.faults = WorkerFaults()


@FAULTS.register("replaced-endpoint")
async def replace_endpoint(environment: SoakEnvironment, duration_s: float) -> None:
    """Drains an endpoint, starts a new one and unregisters the drained one."""
    id = _choose_endpoint_id(environment)
    endpoint = environment.fleet.endpoint_by_id[id]
    endpoint.state = "draining"
    environment.fleet.register(endpoint)
    await environment.add_endpoint(is_engine=endpoint.worker.engine is not None)
    await asyncio.sleep(duration_s)
    if id in environment.fleet.endpoint_by_id:
        environment.fleet.remove(id)


@FAULTS.register("new-keys")
async def rotate_keys(environment: SoakEnvironment, duration_s: float) -> None:
    """Adds a key to the organisation and later removes all older ones."""
    environment.change_keys([*environment.keys, f"key-{environment.version}"])
    await asyncio.sleep(duration_s)
    environment.change_keys(environment.keys[-1:])
