"""The environment of a soak: stand-ins, links and instances."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
from random import Random
from typing import Any, AsyncIterator

import attrs

from cicadacourse.util.clock import now
from soak._configurations import ConfigurationHistory
from soak._cuts import Cuts
from soak._fault_window import FaultWindow
from soak._instances import InstanceProcess
from soak._proxy import LinkState, Proxy, RateLimit
from standins.platform import (
    KEY,
    ORGANISATION,
    Fleet,
    RegisteredEndpoint,
    make_configuration,
)
from standins.ports import free_port, next_host

# Set on every route, so that only the kind of a route prevents retries.
MAX_ATTEMPTS = 3
# Enough engines to prefill the longest prompts of the load in time.
ENGINES_PER_INSTANCE = 4
PLAIN_ENDPOINTS = 3
DOMAINS = ("a", "b", "c")


@attrs.frozen
class Site:
    """What a deployment consists of.

    :param size: the number of instances.
    :param engines_per_instance: the number of engines for each instance.
    :param domains: the failure domains, which instances and endpoints take in turn.
    :param link_bytes_per_s: how fast each instance sends to the store and in response
        to other instances, and how fast it receives from them; None for no limit. The
        instances then call each other through proxies.
    :param has_endpoint_links: whether each endpoint is reached through a proxy, which
        accepts connections also when the endpoint has ended.
    :param is_partitionable: whether instances can be cut off from endpoints one by one.
    :param settings: further sections of the instances' settings.
    :param cold_rate: what a cold endpoint bears, in requests per second; 0 for no
        bound.
    """

    size: int
    engines_per_instance: int = ENGINES_PER_INSTANCE
    domains: tuple[str, ...] = DOMAINS
    link_bytes_per_s: float | None = None
    has_endpoint_links: bool = True
    is_partitionable: bool = False
    settings: str = ""
    cold_rate: float = 0.0


@attrs.define(eq=False)
class SoakEnvironment:
    """The components that faults impair and the checker inspects.

    :param fleet: the store and the endpoints.
    :param instances: the instances, each a process of its own.
    :param seed: determines the load and the faults.
    :param random: draws the faults; each caller has a generator of its own.
    :param stack: closes the links to the endpoints.
    :param has_endpoint_links: see :class:`Site`.
    :ivar link_by_endpoint_id: the proxy in front of each endpoint.
    :ivar store_fault_window: the faults that affect all users of the store.
    :ivar version: the version of the newest configuration.
    :ivar added_at_by_key: when each of the organisation's keys was added, oldest first;
        loop times in seconds.
    :ivar removed_at_by_key: when each former key was removed, loop times in seconds.
    :ivar added_prefixes: the path prefixes of further routes to the plain service.
    :ivar history: every configuration that was written.
    :ivar key_by_other_organisation: the key of each further organisation.
    :ivar narrow_segment: a path segment for which each route has a narrower copy; empty
        for none.
    :ivar route_fields: fields that are added to each route or replaced.
    :ivar caller_limits: the limits on callers' connections, by their names there.
    :param cold_rate: see :class:`Site`.
    :ivar cuts: the cuts between instances and endpoints.
    """

    fleet: Fleet
    instances: list[InstanceProcess]
    seed: int
    random: Random
    stack: contextlib.AsyncExitStack
    has_endpoint_links: bool = True
    cold_rate: float = 0.0
    link_by_endpoint_id: dict[str, Proxy] = attrs.field(factory=dict)
    store_fault_window: FaultWindow = attrs.field(factory=FaultWindow)
    version: int = 1
    added_at_by_key: dict[str, float] = attrs.field(factory=lambda: {KEY: 0.0})
    removed_at_by_key: dict[str, float] = attrs.field(factory=dict)
    added_prefixes: list[str] = attrs.field(factory=list)
    history: ConfigurationHistory = attrs.field(factory=ConfigurationHistory)
    key_by_other_organisation: dict[str, str] = attrs.field(factory=dict)
    narrow_segment: str = ""
    route_fields: dict[str, Any] = attrs.field(factory=dict)
    caller_limits: dict[str, int] = attrs.field(factory=dict)
    cuts: Cuts = attrs.field(init=False)
    _endpoints: itertools.count[int] = attrs.field(factory=itertools.count)

    @cuts.default
    def _make_cuts(self) -> Cuts:
        return Cuts(self.link_by_endpoint_id)

    def random_for(self, name: str) -> Random:
        """Returns a generator for one caller, independent of what others draw."""
        return Random(f"{self.seed} {name}")

    @property
    def keys(self) -> list[str]:
        """The organisation's keys, oldest first."""
        return list(self.added_at_by_key)

    def change_keys(self, keys: list[str]) -> None:
        """Writes a newer configuration with these keys."""
        changed_at = now()
        removed = [key for key in self.added_at_by_key if key not in keys]
        self.removed_at_by_key.update({key: changed_at for key in removed})
        self.added_at_by_key = {
            key: self.added_at_by_key.get(key, changed_at) for key in keys
        }
        self.version += 1
        self.configure()

    def configure(self) -> None:
        """Writes the configuration with the current version and keys."""
        keys_by_name = {ORGANISATION: self.keys} | {
            name: [key] for name, key in self.key_by_other_organisation.items()
        }
        configuration = make_configuration(
            self.version,
            tenants=[
                {"name": name, "apiKeys": keys, "priority": 1}
                for name, keys in keys_by_name.items()
            ],
            limits=self.caller_limits,
        )
        if self.cold_rate:
            for pool in configuration["services"]:
                pool["coldPerS"] = self.cold_rate
        routes = configuration["routes"]
        plain_route = routes[-1]
        if self.narrow_segment:
            routes += [_narrow(route, self.narrow_segment) for route in routes]
        routes += [
            {**plain_route, "name": prefix.strip("/"), "pathPrefix": prefix}
            for prefix in self.added_prefixes
        ]
        for route in routes:
            route.update({"maxAttempts": MAX_ATTEMPTS, **self.route_fields})
        sent_at = now()
        self.fleet.configure(configuration)
        self.history.record(sent_at, self.added_prefixes, self.keys)

    async def add_endpoint(self, is_engine: bool) -> RegisteredEndpoint:
        """Starts and registers an endpoint, with a link of its own unless excluded."""
        number = next(self._endpoints)
        domain = DOMAINS[number % len(DOMAINS)]
        if is_engine:
            endpoint = self.fleet.add_engine(f"engine-{number}", domain)
        else:
            endpoint = self.fleet.add_plain_service(f"plain-{number}", domain)
        if not self.has_endpoint_links:
            return endpoint
        link = Proxy(f"{self.fleet.host}:{free_port()}", endpoint.address)
        await self.stack.enter_async_context(link.running())
        self.link_by_endpoint_id[endpoint.worker.id] = link
        endpoint.address = link.address
        if endpoint.worker.engine is not None:
            endpoint.worker.engine.name = link.address
        self.fleet.register(endpoint)
        return endpoint

    def links(self) -> list[Proxy]:
        """Returns the links to the store and to the endpoints."""
        store_links = [instance.store_link for instance in self.instances]
        return [
            *store_links,
            *self.peer_links(),
            *self.link_by_endpoint_id.values(),
        ]

    def peer_links(self) -> list[Proxy]:
        """Returns the links through which instances call each other."""
        links = [instance.peer_link for instance in self.instances]
        return [link for link in links if link is not None]


def _narrow(route: dict[str, Any], segment: str) -> dict[str, Any]:
    """Returns a copy of a route for the paths with one more segment."""
    prefix = f"{route['pathPrefix']}{segment}/"
    return {**route, "name": f"{route['name']}-{segment}", "pathPrefix": prefix}


@contextlib.asynccontextmanager
async def running_environment(
    folder: pathlib.Path, seed: int, site: Site
) -> AsyncIterator[SoakEnvironment]:
    """Runs a configured deployment with its instances as processes.

    :param folder: the folder for settings and output.
    """
    fleet = Fleet(next_host())
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(fleet.running())
        instances = [
            _make_instance(folder, number, fleet, site) for number in range(site.size)
        ]
        environment = SoakEnvironment(
            fleet,
            instances,
            seed,
            Random(seed),
            stack,
            site.has_endpoint_links,
            site.cold_rate,
        )
        for link in environment.links():
            await stack.enter_async_context(link.running())
        engines = site.engines_per_instance * site.size
        for number in range(engines + PLAIN_ENDPOINTS):
            await environment.add_endpoint(is_engine=number < engines)
        environment.configure()
        stack.push_async_callback(_kill_all, instances)
        for instance in instances:
            instance.write_settings()
        await asyncio.gather(*(instance.start() for instance in instances))
        yield environment


def _make_instance(
    folder: pathlib.Path, number: int, fleet: Fleet, site: Site
) -> InstanceProcess:
    host = next_host()
    link = Proxy(f"{host}:{free_port()}", fleet.store_address)
    domain = site.domains[number % len(site.domains)]
    instance = InstanceProcess(f"instance-{number}", domain, host, folder, link)
    instance.is_partitionable = site.is_partitionable
    instance.further_settings = site.settings
    if site.link_bytes_per_s is not None:
        _limit_links(instance, site.link_bytes_per_s)
    return instance


def _limit_links(instance: InstanceProcess, bytes_per_s: float) -> None:
    """Puts a link before an instance, which shares its rate with that to the store."""
    sending, receiving = RateLimit(bytes_per_s), RateLimit(bytes_per_s)
    instance.store_link.to_target_limit = sending
    instance.store_link.from_target_limit = receiving
    instance.peer_link = Proxy(
        f"{instance.host}:{instance.peer_port}",
        f"{instance.host}:{free_port()}",
        to_target_limit=receiving,
        from_target_limit=sending,
    )


async def _kill_all(instances: list[InstanceProcess]) -> None:
    await asyncio.gather(*(instance.kill() for instance in instances))


async def clear_faults(environment: SoakEnvironment) -> None:
    """Ends every fault on links and starts the instances that are not running."""
    for link in environment.links():
        link.set(LinkState.PASS)
    for instance in environment.instances:
        await instance.start()
