"""Runs several applications in one process, connected by an in-memory network."""

from __future__ import annotations

import asyncio
import contextlib
from types import MappingProxyType
from typing import Any, AsyncIterator, Callable, Mapping, Sequence

from returns.result import Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.errors import Error
from cicadacourse.membership import Contact, ContactSource
from cicadacourse.peers import MemoryNetwork, MemoryPeers
from cicadacourse.resources import Resources

# Added to the index of an instance when another one replaces it under its name; the
# address is made from the index. In a cluster of more instances than this, two would
# have one address.
_REPLACEMENT_OFFSET = 3000

ServiceSpec = str | Callable[[Application], Service]


class MemoryContacts(Service, ContactSource):
    """A contact source whose contacts are those of a :class:`MemoryCluster`."""

    name = "contacts"

    def __init__(self, app: Application, contact_by_name: dict[str, Contact]):
        super().__init__(app)
        self._contact_by_name = contact_by_name

    async def fetch(self, timeout_s: float) -> Result[tuple[Contact, ...], Error]:
        """Returns the contacts that the cluster has at the moment."""
        return Success(tuple(self._contact_by_name.values()))


class MemoryCluster:
    """Applications by name, the network between them and their contacts.

    :param service_specs: names of registered services, or functions that make one
        for an application; added after ``peers`` and ``contacts``.
    :param sections: further settings sections, the same for each instance.
    :param seed: seeds the simulated faults of the network.
    :param failure_domains: the domains that the instances are distributed over.
    :param region_by_domain: the regions of the domains.
    """

    def __init__(
        self,
        service_specs: Sequence[ServiceSpec],
        sections: Sequence[Any] = (),
        seed: int = 1,
        failure_domains: Sequence[str] = ("a", "b", "c"),
        region_by_domain: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        self.network = MemoryNetwork(seed)
        self.application_by_name: dict[str, Application] = {}
        self.contact_by_name: dict[str, Contact] = {}
        self._service_specs = service_specs
        self._sections = sections
        self._failure_domains = failure_domains
        self._region_by_domain = region_by_domain
        self._stack_by_name: dict[str, contextlib.AsyncExitStack] = {}
        self._index_by_name: dict[str, int] = {}
        self._replaced_stacks: list[contextlib.AsyncExitStack] = []

    def address(self, name: str) -> str:
        """Returns the peer address of an instance."""
        return f"10.0.{self._index(name) // 250}.{self._index(name) % 250 + 1}:7000"

    def addresses(self, names: Sequence[str]) -> list[str]:
        """Returns the peer addresses of instances."""
        return [self.address(name) for name in names]

    def failure_domain(self, name: str) -> str:
        """Returns the failure domain of an instance; domains go round robin."""
        return self._failure_domains[self._index(name) % len(self._failure_domains)]

    def add_contact(self, name: str) -> None:
        """Adds an instance to the contacts that all instances fetch."""
        self.contact_by_name[name] = Contact(name, self.address(name))

    def build(self, name: str) -> Application:
        """Returns a new application for an instance, not yet running."""
        domain = self.failure_domain(name)
        instance = InstanceSettings(
            name=name,
            region=self._region_by_domain.get(domain, "default"),
            failure_domain=domain,
            region_by_domain=self._region_by_domain,
            caller_address=self.address(name).replace(":7000", ":8000"),
            peer_address=self.address(name),
        )
        app = Application(Settings(instance, *self._sections))
        app.add_service(Resources(app))
        app.add_service(MemoryPeers(app, self.network))
        app.add_service(MemoryContacts(app, self.contact_by_name))
        for spec in self._service_specs:
            service = SERVICES.get(spec)(app) if isinstance(spec, str) else spec(app)
            self._make_freezable(service, self.address(name))
            app.add_service(service)
        return app

    def _make_freezable(self, service: Any, address: str) -> None:
        """Lets a freeze of an instance stop the loops of a service too.

        Its ``sleep``, if it has one, also waits until the instance is thawed.
        """
        if not hasattr(service, "sleep"):
            return

        async def sleep(delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            await self.network.wait_until_thawed(address)

        service.sleep = sleep

    async def start(self, name: str) -> Application:
        """Starts an instance with a new application, also if it has run before."""
        app = self.build(name)
        stack = contextlib.AsyncExitStack()
        await stack.enter_async_context(app.running())
        self.application_by_name[name] = app
        self._stack_by_name[name] = stack
        return app

    async def kill(self, name: str) -> None:
        """Stops an instance as a crash does, without a leave announcement."""
        self.network.partition([self.address(name)], list(self.network_addresses()))
        await self.stop(name)
        self.network.heal([self.address(name)], list(self.network_addresses()))

    async def stop(self, name: str) -> None:
        """Stops an instance gracefully, by the shutdown of its services."""
        del self.application_by_name[name]
        await self._stack_by_name.pop(name).aclose()

    async def replace(self, name: str) -> Application:
        """Starts another instance of a name at a new address; the old one runs on."""
        self._replaced_stacks.append(self._stack_by_name.pop(name))
        self._index_by_name[name] += _REPLACEMENT_OFFSET
        return await self.start(name)

    def network_addresses(self) -> list[str]:
        """Returns the peer addresses of the running instances."""
        return self.addresses(list(self.application_by_name))

    @property
    def applications(self) -> list[Application]:
        """The running applications."""
        return list(self.application_by_name.values())

    def get(self, name: str, service_name: str) -> Any:
        """Returns a service of an instance."""
        return self.application_by_name[name].get(service_name)

    def services(self, service_name: str) -> list[Any]:
        """Returns the services of a name of all running instances."""
        return [app.get(service_name) for app in self.application_by_name.values()]

    def freeze(self, name: str) -> None:
        """Suspends an instance: it neither sends nor receives, and its loops wait."""
        self.network.freeze(self.address(name))

    def thaw(self, name: str) -> None:
        """Resumes a frozen instance."""
        self.network.thaw(self.address(name))

    async def close(self) -> None:
        """Stops all instances, including the replaced ones."""
        for name in list(self.application_by_name):
            self.thaw(name)
        for name in reversed(list(self.application_by_name)):
            await self.stop(name)
        for stack in self._replaced_stacks:
            await stack.aclose()

    def _index(self, name: str) -> int:
        return self._index_by_name.setdefault(name, len(self._index_by_name))


@contextlib.asynccontextmanager
async def memory_cluster(
    names: Sequence[str],
    service_specs: Sequence[ServiceSpec],
    *sections: Any,
    seed: int = 1,
    failure_domains: Sequence[str] = ("a", "b", "c"),
    region_by_domain: Mapping[str, str] = MappingProxyType({}),
) -> AsyncIterator[MemoryCluster]:
    """Runs a cluster of instances, all added as contacts, while the context is open.

    :param names: the names of the instances that are started.
    :param service_specs: as for :class:`MemoryCluster`.
    :param sections: as for :class:`MemoryCluster`.
    :param seed: as for :class:`MemoryCluster`.
    :param failure_domains: as for :class:`MemoryCluster`.
    :param region_by_domain: as for :class:`MemoryCluster`.
    """
    cluster = MemoryCluster(
        service_specs, sections, seed, failure_domains, region_by_domain
    )
    for name in names:
        cluster.add_contact(name)
    try:
        for name in names:
            await cluster.start(name)
        yield cluster
    finally:
        await cluster.close()
