"""Everything that a soak runs: stand-ins, links and instances."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import random
from typing import Any, AsyncIterator

import attrs

from cicadacourse.util.clock import now
from soak._disturbance import FaultWindow
from soak._instances import InstanceProcess
from soak._proxy import LinkState, Proxy
from standins.platform import KEY, Fleet, RegisteredEndpoint, make_configuration
from standins.ports import free_port, next_host

# Of every route, so that nothing but its kind keeps a request from being repeated.
MAX_ATTEMPTS = 3
# Enough for the longest prompts of the load to be read in time.
ENGINES_PER_INSTANCE = 4
PLAIN_ENDPOINTS = 3
DOMAINS = ("a", "b", "c")


@attrs.define(eq=False)
class SoakEnvironment:
    """The parts that faults disturb and checks look at.

    :param fleet: the store and the endpoints.
    :param instances: the instances.
    :param seed: decides the load and the faults.
    :param random: draws the faults; callers have their own.
    :ivar link_by_endpoint: the proxies before endpoints, by the endpoint's id.
    :ivar store_fault_window: the faults of the whole store.
    :ivar version: of the newest configuration.
    :ivar since_by_key: the organisation's keys, oldest first, and since when they hold.
    :ivar gone_by_key: the keys that were taken away, and when.
    """

    fleet: Fleet
    instances: list[InstanceProcess]
    seed: int
    random: random.Random
    stack: contextlib.AsyncExitStack
    link_by_endpoint: dict[str, Proxy] = attrs.field(factory=dict)
    store_fault_window: FaultWindow = attrs.field(factory=FaultWindow)
    version: int = 1
    since_by_key: dict[str, float] = attrs.field(factory=lambda: {KEY: 0.0})
    gone_by_key: dict[str, float] = attrs.field(factory=dict)
    _endpoints: itertools.count[int] = attrs.field(factory=itertools.count)

    def random_of(self, name: str) -> random.Random:
        """Returns the random numbers of one caller, whatever others draw."""
        return random.Random(f"{self.seed} {name}")

    @property
    def keys(self) -> list[str]:
        """The organisation's keys, oldest first."""
        return list(self.since_by_key)

    def change_keys(self, keys: list[str]) -> None:
        """Writes a newer configuration with other keys."""
        at = now()
        gone = [key for key in self.since_by_key if key not in keys]
        self.gone_by_key.update({key: at for key in gone})
        self.since_by_key = {key: self.since_by_key.get(key, at) for key in keys}
        self.version += 1
        self.configure()

    def configure(self) -> None:
        """Writes the newest configuration."""
        acme: dict[str, Any] = {"name": "acme", "apiKeys": self.keys, "priority": 1}
        configuration = make_configuration(self.version, tenants=[acme])
        for route in configuration["routes"]:
            route["maxAttempts"] = MAX_ATTEMPTS
        self.fleet.configure(configuration)

    async def add_endpoint(self, is_engine: bool) -> RegisteredEndpoint:
        """Starts an endpoint that is reached through a link of its own."""
        number = next(self._endpoints)
        domain = DOMAINS[number % len(DOMAINS)]
        if is_engine:
            listed = self.fleet.add_engine(f"engine-{number}", domain)
        else:
            listed = self.fleet.add_plain(f"plain-{number}", domain)
        link = Proxy(f"{self.fleet.host}:{free_port()}", listed.address)
        await self.stack.enter_async_context(link.running())
        self.link_by_endpoint[listed.worker.id] = link
        listed.address = link.address
        if listed.worker.engine is not None:
            listed.worker.engine.name = link.address
        self.fleet.register(listed)
        return listed

    def links(self) -> list[Proxy]:
        """Returns all links."""
        stores = [instance.store_link for instance in self.instances]
        return [*stores, *self.link_by_endpoint.values()]


@contextlib.asynccontextmanager
async def running_world(
    folder: pathlib.Path, seed: int, size: int
) -> AsyncIterator[SoakEnvironment]:
    """Runs a configured deployment with its instances' processes.

    :param folder: where settings and output go.
    :param size: how many instances there are; engines are four times as many.
    """
    fleet = Fleet(next_host())
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(fleet.running())
        instances = [_make_instance(folder, number, fleet) for number in range(size)]
        for instance in instances:
            await stack.enter_async_context(instance.store_link.running())
        world = SoakEnvironment(fleet, instances, seed, random.Random(seed), stack)
        engines = ENGINES_PER_INSTANCE * size
        for number in range(engines + PLAIN_ENDPOINTS):
            await world.add_endpoint(is_engine=number < engines)
        world.configure()
        stack.push_async_callback(_kill_all, instances)
        for instance in instances:
            instance.write_settings()
        await asyncio.gather(*(instance.start() for instance in instances))
        yield world


def _make_instance(folder: pathlib.Path, number: int, fleet: Fleet) -> InstanceProcess:
    host = next_host()
    link = Proxy(f"{host}:{free_port()}", fleet.store_address)
    domain = DOMAINS[number % len(DOMAINS)]
    return InstanceProcess(f"instance-{number}", domain, host, folder, link)


async def _kill_all(instances: list[InstanceProcess]) -> None:
    await asyncio.gather(*(instance.kill() for instance in instances))


async def heal(world: SoakEnvironment) -> None:
    """Ends every fault and starts what has ended."""
    for link in world.links():
        link.set(LinkState.PASS)
    for instance in world.instances:
        await instance.start()
