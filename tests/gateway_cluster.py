"""A cluster of whole gateways on a simulated clock, before simulated endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import defaultdict
from typing import Any, AsyncIterator, Callable, Iterable, Sequence

import attrs

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Catalog, CatalogService
from cicadacourse.cmd._services import import_services
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import CallerRequest, Prompt
from cicadacourse.load import LoadService
from cicadacourse.util.clock import now
from standins.memory_cluster import MemoryCluster, memory_cluster
from tests.endpoint_links import EndpointLinks, LinkFault
from tests.simulated_connector import SimulatedConnector
from tests.simulated_endpoints import FOR_GOOD, SimulatedEndpoint
from tests.test_gateway.test_gateway_histories import CATALOG, HOST, FakeReply

import_services()

STREAMS = ("ask", "tell")


class MemoryLoad(LoadService):
    """Exchanges load reports over the links of a :class:`MemoryCluster`."""

    def __init__(self, app: Application, cluster: GatewayCluster) -> None:
        super().__init__(app)
        self._cluster = cluster

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Sends and receives reports while the instance runs."""
        self._sender.open(_MemoryTransport(self._cluster, self._instance.peer_address))
        task = asyncio.create_task(self.report_periodically())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


@attrs.define
class _MemoryTransport:
    cluster: GatewayCluster
    address: str

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        """Delivers a datagram unless the link loses it."""
        address = f"{target[0]}:{target[1]}"
        network = self.cluster.memory.network
        link = network.link(self.address, address)
        if link.is_partitioned or network.random.random() < link.drop_probability:
            return
        delay_s = link.delay_s + network.random.uniform(0, link.jitter_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.cluster.deliver, self.address, address, data)


@attrs.define(eq=False)
class GatewayCluster:
    """Gateways with the endpoints that they share.

    :ivar chooser: draws which messages to endpoints are lost and what they refuse.
    :ivar endpoint_loss: the share of the messages to endpoints that is lost.
    :ivar links: the links from the instances to the endpoints.
    """

    endpoint_by_id: dict[str, SimulatedEndpoint]
    catalog: Catalog = CATALOG
    memory: MemoryCluster = attrs.field(init=False)
    frozen: set[str] = attrs.field(factory=set)
    replies: list[FakeReply] = attrs.field(factory=list)
    reply_by_id: dict[str, FakeReply] = attrs.field(factory=dict)
    crashed_at: list[float] = attrs.field(factory=list)
    former_endpoints: list[SimulatedEndpoint] = attrs.field(factory=list)
    endpoint_loss: float = 0.0
    links: EndpointLinks = attrs.field(factory=EndpointLinks)
    _thawed_by_name: dict[str, asyncio.Event] = attrs.field(factory=dict)
    _reply_by_task: dict[str, dict[asyncio.Task[Any], FakeReply]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    _stopped: set[str] = attrs.field(factory=set)
    _killed_tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)
    chooser: random.Random = attrs.field(factory=lambda: random.Random(1))
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _service_by_address: dict[str, MemoryLoad] = attrs.field(factory=dict)

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Hands a datagram to the instance at an address, if one runs there."""
        service = self._service_by_address.get(target)
        if service is not None and not {source, target} & self.frozen:
            service.receive(data, source)

    def services(self) -> list[Callable[[Application], Service] | str]:
        """Returns the services of each instance, in their order."""
        return [
            "catalog",
            "membership",
            self._make_load,
            "evidence",
            "reachability",
            "eligibility",
            "permits",
            "limits",
            "quarantine",
            self._make_connector,
            "endpoint_caller",
            "proxy",
            "placement",
            "gateway",
        ]

    def _make_load(self, app: Application) -> Service:
        service = MemoryLoad(app, self)
        self._service_by_address[service._instance.peer_address] = service
        return service

    def _make_connector(self, app: Application) -> Service:
        name = app.get("load")._instance.name
        self._fill(app)
        return SimulatedConnector(app, self, name)

    def cut(
        self,
        instances: Iterable[str],
        fault: LinkFault = LinkFault.HANG,
        endpoints: Iterable[SimulatedEndpoint] | None = None,
        seconds: float = FOR_GOOD,
        is_reset_after: bool = False,
    ) -> Callable[[], None]:
        """Cuts instances off from endpoints, by default from all.

        :param seconds: how long; cuts may overlap.
        :param is_reset_after: whether connections that hung are reset afterwards.
        :returns: a function that ends the cut, for cuts without a time.
        """
        if endpoints is None:
            endpoints = list(self.endpoint_by_id.values())
        ends = [item.endpoint for item in endpoints]
        heal = self.links.cut(instances, ends, fault, is_reset_after)
        if seconds < FOR_GOOD:
            asyncio.get_running_loop().call_later(seconds, heal)
        return heal

    def freeze(self, instance: str) -> None:
        """Suspends an instance: it sends and receives nothing, its loops wait."""
        self._thawed_by_name.setdefault(instance, asyncio.Event())
        self.frozen.add(self.memory.address(instance))
        self.memory.freeze(instance)

    def thaw(self, instance: str) -> None:
        """Resumes an instance that was suspended."""
        self._thawed_by_name.pop(instance).set()
        self.frozen.discard(self.memory.address(instance))
        self.memory.thaw(instance)

    async def kill(self, instance: str) -> None:
        """Ends an instance's process, with its connections to callers."""
        self._stopped.add(instance)
        self.links.reset(instance)
        for task, reply in self._reply_by_task[instance].items():
            reply.caller_disconnected.set()
            self._killed_tasks.add(task)
            task.cancel()
        await self.memory.kill(instance)

    async def leave(self, instance: str, drain_s: float = 1.0) -> None:
        """Shuts an instance down gracefully, after some seconds for its requests."""
        self._stopped.add(instance)
        app = self.memory.application_by_name.pop(instance)
        app.get("gateway").leaving = True
        app.get("membership").set_leaving()
        await asyncio.sleep(drain_s)
        tasks = list(self._reply_by_task[instance])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.memory.application_by_name[instance] = app
        await self.memory.stop(instance)

    def is_running(self, instance: str) -> bool:
        """Returns whether an instance runs; its name must be a known one."""
        if instance in self.memory.application_by_name:
            return True
        assert instance in self._stopped
        return False

    async def wait_until_thawed(self, instance: str) -> None:
        """Waits while an instance is suspended."""
        while instance in self._thawed_by_name:
            await self._thawed_by_name[instance].wait()

    def is_message_lost(self) -> bool:
        """Returns whether a message to an endpoint is lost, drawn at random."""
        return self.chooser.random() < self.endpoint_loss

    def lose_messages(self, share: float) -> None:
        """Lets all links lose a share of their messages, those to endpoints too."""
        self.endpoint_loss = share
        network = self.memory.network
        network.default_link.drop_probability = share
        for pair in list(network._link_by_pair):
            network.link(*pair).drop_probability = share

    def _fill(self, app: Application) -> None:
        catalog_service: CatalogService = app.get("catalog")
        catalog_service.apply_if_newer(self.catalog, "test")
        for item in self.endpoint_by_id.values():
            catalog_service.registry.put(item.endpoint)
        catalog_service.mark_registry_known()

    def duplicate_messages(self, share: float) -> None:
        """Lets a share of the calls between instances arrive twice."""
        network = self.memory.network
        network.default_link.duplicate_probability = share
        for pair in list(network._link_by_pair):
            network.link(*pair).duplicate_probability = share

    def all_endpoints(self) -> list[SimulatedEndpoint]:
        """Returns all endpoints, those whose processes have ended too."""
        return [*self.endpoint_by_id.values(), *self.former_endpoints]

    def busiest_endpoint(self) -> SimulatedEndpoint:
        """Returns the endpoint that has got most requests."""
        endpoints = self.endpoint_by_id.values()
        return max(endpoints, key=lambda item: len(item.arrivals))

    def crash(self, endpoint: SimulatedEndpoint, down_s: float = 3.0) -> None:
        """Ends an endpoint's process; another one starts at its address later."""
        if endpoint.is_down:
            return
        endpoint.is_down = True
        endpoint.ended.set()
        self.crashed_at.append(now())
        loop = asyncio.get_running_loop()
        loop.call_later(down_s, self._restart, endpoint)

    def _restart(self, endpoint: SimulatedEndpoint) -> None:
        former = endpoint.endpoint
        number = next(self._numbers)
        successor = attrs.evolve(
            endpoint,
            endpoint=attrs.evolve(former, id=f"{former.pool}-r{number}"),
            is_down=False,
            is_leaving=False,
            silent_until=0.0,
            in_progress=0,
            arrivals=[],
            sent_answers=[],
            answers=[],
            exchanges=[],
        )
        self.former_endpoints.append(endpoint)
        del self.endpoint_by_id[former.id]
        self.endpoint_by_id[successor.endpoint.id] = successor
        for app in self.memory.applications:
            registry = app.get("catalog").registry
            registry.remove(former.id)
            registry.put(successor.endpoint)
            app.events.emit(ENDPOINT_CHANGED, former)
            app.events.emit(ENDPOINT_CHANGED, successor.endpoint)

    async def send(
        self,
        instance: str,
        path: str = "ask",
        tokens: int = 4000,
        timeout_s: float = 4.0,
        name: str = "x",
        body: bytes = b"",
        reply: FakeReply | None = None,
        **prompt: object,
    ) -> FakeReply:
        """Sends one request to an instance and returns its reply, once it has ended."""
        request = CallerRequest(
            id=f"r{next(self._numbers)}",
            method="POST",
            host=HOST,
            target=f"/{path}/{name}",
            key=None,
            arrived=now(),
            timeout_s=timeout_s,
            last_event_id=None,
            prompt=Prompt("m", tokens, 184, **prompt) if path in STREAMS else None,
            headers=(),
            body=body,
        )
        reply = reply or FakeReply()
        reply.arrived = now()
        self.reply_by_id[request.id] = reply
        await self._handle(instance, request, reply)
        self.replies.append(reply)
        return reply

    async def _handle(
        self, instance: str, request: CallerRequest, reply: FakeReply
    ) -> None:
        """Lets an instance serve a request, until its process is killed."""
        if not self.is_running(instance):
            reply.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        reply_by_task = self._reply_by_task[instance]
        reply_by_task[task] = reply
        try:
            await self.memory.get(instance, "gateway").handle(request, reply)
        except asyncio.CancelledError:
            if task not in self._killed_tasks:
                raise
            task.uncancel()
            reply.abort()
        finally:
            del reply_by_task[task]

    async def load(
        self,
        rate: float,
        seconds: float,
        seed: int = 1,
        make_parts: Callable[[random.Random], tuple[str, ...]] | None = None,
        make_body: Callable[[random.Random], bytes] | None = None,
        **request: object,
    ) -> list[FakeReply]:
        """Sends requests at a mean rate per second to random instances, and waits.

        :param make_parts: draws the shared parts of each request's prompt.
        :param make_body: draws the body of each request.
        """
        chooser = random.Random(seed)
        until = now() + seconds
        tasks = []
        while now() < until:
            instance = chooser.choice(sorted(self.memory.application_by_name))
            if make_parts is not None:
                request["shared_part_ids"] = make_parts(chooser)
            if make_body is not None:
                request["body"] = make_body(chooser)
            tasks.append(asyncio.create_task(self.send(instance, **request)))
            await asyncio.sleep(chooser.expovariate(rate))
        return list(await asyncio.gather(*tasks))


@contextlib.asynccontextmanager
async def gateway_cluster(
    instances: int,
    endpoint_by_id: dict[str, SimulatedEndpoint],
    seed: int = 1,
    catalog: Catalog = CATALOG,
    sections: Sequence[Any] = (),
    **domains: Any,
) -> AsyncIterator[GatewayCluster]:
    """Runs a cluster whose instances know each other.

    :param seed: seeds the faults and all that is drawn at random.
    :param sections: further settings of the instances.
    :param domains: see :func:`memory_cluster`.
    """
    random.seed(seed)
    cluster = GatewayCluster(endpoint_by_id, catalog)
    names = [f"n{number}" for number in range(instances)]
    services = cluster.services()
    async with memory_cluster(
        names, services, *sections, seed=seed, **domains
    ) as memory:
        cluster.memory = memory
        async with asyncio.timeout(30):
            while not all(
                len(item.members()) == instances
                for item in memory.services("membership")
            ):
                await asyncio.sleep(0.1)
        yield cluster
