"""A cluster of whole gateways on a simulated clock, before simulated endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from typing import AsyncIterator, Callable, Sequence

import attrs

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Catalog, CatalogService, Endpoint
from cicadacourse.cmd._services import import_services
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import (
    CallerRequest,
    EndpointConnection,
    EndpointConnector,
    EndpointRequest,
    EndpointResponse,
    Prompt,
    ResponseHead,
    SendFailure,
)
from cicadacourse.load import LoadService
from cicadacourse.util.clock import now
from standins.memory_cluster import MemoryCluster, memory_cluster
from tests.test_gateway.test_gateway_histories import CATALOG, HOST, FakeReply

import_services()

OK = 200
UNAVAILABLE = 503
MISDIRECTED = 421
STREAMS = ("ask", "tell")
ENDPOINT_LINK_S = 0.004
# How long after it began to run a fatal request its endpoint ends, in seconds.
FATAL_S = 0.09
# How long a connection is tried to which a message was lost, in seconds.
LOST_CONNECT_S = 0.1
# Longer than any test takes.
NEVER_S = 10_000.0
CONNECT_TIMEOUT_S = 0.38
# The simulated clock doesn't move by a shorter sleep.
CLOCK_RESOLUTION_S = 1e-5
FOR_GOOD = float("inf")


@attrs.frozen
class Arrival:
    """A request that reached an endpoint, at a loop time in seconds."""

    at: float
    instance: str
    request: EndpointRequest


@attrs.frozen
class Answer:
    """The head of a response that an instance received, at a loop time in seconds."""

    at: float
    instance: str
    head: ResponseHead


def make_event(request: CallerRequest, endpoint: Endpoint, number: int) -> bytes:
    """Returns one event of the stream that answers a request."""
    return f"id: {number}\ndata: {request.id} {endpoint.id}\n\n".encode()


@attrs.define(eq=False)
class SimulatedEndpoint:
    """An endpoint that takes a fixed time for each request.

    :param work_s: seconds until the head of a response.
    :param events: events of a stream, which follow the head.
    :param event_s: seconds before each event or chunk but the first.
    :param call_chunks: chunks of the body of a response to a call.
    :param has_ids: whether its events have ids.
    :ivar status: the status of its responses.
    :ivar limit: the requests per second that its responses name, or None.
    :ivar retry_after_s: if not None, it refuses each request and wants none for this
        many seconds.
    :ivar is_leaving: whether its responses state that it is shutting down.
    :ivar fault_address: the address that its refusals blame, or None.
    :ivar is_replaced: whether another endpoint responds at its address.
    :ivar is_down: whether its process has ended.
    :ivar ended: set once its process has ended.
    :ivar silent_until: until when it sends nothing, loop time in seconds.
    :ivar muted_at: connections that were open then stay silent for good.
    :ivar accepts_while_silent: whether it accepts connections while it is silent.
    :ivar in_progress: exchanges that no instance has left yet.
    :ivar on_start: called with each request that it begins to answer.
    :ivar is_fatal: whether its process ends under a request, before it answers it.
    """

    endpoint: Endpoint
    work_s: float = 0.03
    events: int = 4
    event_s: float = 0.04
    call_chunks: int = 1
    has_ids: bool = True
    status: int = OK
    limit: float | None = None
    retry_after_s: float | None = None
    is_leaving: bool = False
    fault_address: str | None = None
    is_replaced: bool = False
    is_down: bool = False
    silent_until: float = 0.0
    muted_at: float = float("-inf")
    accepts_while_silent: bool = True
    in_progress: int = 0
    arrivals: list[Arrival] = attrs.field(factory=list)
    answers: list[Answer] = attrs.field(factory=list)
    on_start: Callable[[SimulatedEndpoint, EndpointRequest], None] = lambda *_: None
    is_fatal: Callable[[EndpointRequest], bool] = lambda _: False
    ended: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)
    _silence_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def fall_silent(self, seconds: float) -> None:
        """Sends nothing for some seconds, then goes on; work in progress is kept."""
        self.silent_until = now() + seconds
        self._silence_changed.set()
        self._silence_changed = asyncio.Event()

    def mute_connections(self) -> None:
        """Sends nothing more on the connections of now; later ones work."""
        self.muted_at = now()

    async def work(self, seconds: float, connected_at: float) -> None:
        """Waits until that much work is done and its outcome can be sent.

        :param connected_at: when the connection was made, loop time in seconds.
        """
        await asyncio.sleep(seconds)
        while now() < self.silent_until:
            left_s = max(CLOCK_RESOLUTION_S, self.silent_until - now())
            timeout_s = left_s if left_s < FOR_GOOD else None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._silence_changed.wait()
        if connected_at <= self.muted_at:
            await asyncio.get_running_loop().create_future()

    def arrivals_since(self, since: float) -> list[float]:
        """Returns the times of the arrivals from a moment on."""
        return [item.at for item in self.arrivals if item.at >= since]

    def make_head(self) -> ResponseHead:
        """Returns the head of its next response."""
        if self.is_replaced:
            status, retry_after_s = MISDIRECTED, None
        elif self.retry_after_s is not None:
            status, retry_after_s = UNAVAILABLE, self.retry_after_s
        else:
            status, retry_after_s = self.status, None
        is_refusal = self.is_replaced or self.retry_after_s is not None
        return ResponseHead(
            status,
            (),
            never_ran=is_refusal,
            fault_address=self.fault_address if is_refusal else None,
            request_limit=self.limit,
            is_misdirected=self.is_replaced,
            retry_after_s=retry_after_s,
            is_leaving=self.is_leaving,
        )


def most_in_window(times: Sequence[float], window_s: float = 4.0) -> int:
    """Returns the largest number of times within any window of that length."""
    times = sorted(times)
    return max(
        (sum(start <= at < start + window_s for at in times) for start in times),
        default=0,
    )


@attrs.define
class _SimulatedResponse(EndpointResponse):
    head: ResponseHead
    endpoint: SimulatedEndpoint
    request: EndpointRequest
    connected_at: float
    number: int

    async def read_chunk(self) -> bytes:
        """Returns the next event; breaks off once the endpoint is down."""
        if self.number == self._events:
            return b""
        is_first = self.number == self._first
        wait_s = 0.0 if is_first else self.endpoint.event_s
        await self.endpoint.work(wait_s, self.connected_at)
        if self.endpoint.is_down:
            raise SendFailure("lost", True, "cut_short", is_broken_off=True)
        self.number += 1
        endpoint = self.endpoint.endpoint
        event = make_event(self.request.caller, endpoint, self.number - 1)
        return event if self.endpoint.has_ids else event.partition(b"\n")[2]

    @property
    def _events(self) -> int:
        is_stream = self.request.caller.prompt is not None
        return self.endpoint.events if is_stream else self.endpoint.call_chunks

    @property
    def _first(self) -> int:
        return first_number(self.request)


def first_number(request: EndpointRequest) -> int:
    """Returns the number of the first event that a request asks for."""
    last_id = request.last_event_id
    return 0 if last_id is None else int(last_id) + 1


class SimulatedConnector(Service, EndpointConnector):
    """Connects one instance to the endpoints of its cluster."""

    name = "endpoint_connector"

    def __init__(self, app: Application, cluster: GatewayCluster, own: str):
        super().__init__(app)
        self._cluster = cluster
        self._by_id = cluster.endpoint_by_id
        self._own_name = own

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Does nothing; no connection is kept here."""

    def abort_exchanges(self, endpoint_id: str) -> None:
        """Does nothing; no test here aborts exchanges."""

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint's process has ended."""
        if self._cluster.is_message_lost():
            await asyncio.sleep(LOST_CONNECT_S)
            return False
        await asyncio.sleep(2 * ENDPOINT_LINK_S)
        return endpoint.id not in self._by_id or self._by_id[endpoint.id].is_down

    @contextlib.asynccontextmanager
    async def connect(
        self, endpoint: Endpoint, is_idempotent: bool, needs_new_connection: bool
    ) -> AsyncIterator[EndpointConnection]:
        """Simulates a new connection to an endpoint."""
        connection = _SimulatedConnection(self._cluster, self._own_name)
        try:
            await connection.open(self._by_id.get(endpoint.id))
            yield connection
        finally:
            connection.close()


@attrs.define
class _SimulatedConnection(EndpointConnection):
    """A connection of an instance to an endpoint, for one exchange."""

    _cluster: GatewayCluster
    _own_name: str
    _endpoint: SimulatedEndpoint | None = None
    _is_sent: bool = False

    async def open(self, endpoint: SimulatedEndpoint | None) -> None:
        """Connects to an endpoint.

        :raises SendFailure: if the endpoint can't be connected to.
        """
        if endpoint is None:
            raise SendFailure("connection refused", False, "unreachable")
        if self._cluster.is_message_lost():
            await asyncio.sleep(LOST_CONNECT_S)
        await asyncio.sleep(ENDPOINT_LINK_S)
        if now() < endpoint.silent_until and not endpoint.accepts_while_silent:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise SendFailure("not connected in time", False, "unreachable")
        if endpoint.is_down:
            raise SendFailure("connection refused", False, "unreachable")
        self._endpoint = endpoint

    def close(self) -> None:
        """Ends the exchange at the endpoint."""
        if self._endpoint is not None and self._is_sent:
            self._endpoint.in_progress -= 1

    async def send(
        self, request: EndpointRequest, head_timeout_s: float
    ) -> EndpointResponse:
        """Sends a request and returns the head of its response."""
        endpoint = self._endpoint
        assert endpoint is not None
        endpoint.arrivals.append(Arrival(now(), self._own_name, request))
        endpoint.in_progress += 1
        self._is_sent = True
        return await self._receive_head(endpoint, request, head_timeout_s)

    async def _receive_head(
        self, endpoint: SimulatedEndpoint, request: EndpointRequest, timeout_s: float
    ) -> EndpointResponse:
        connected_at = now()
        work_s = ENDPOINT_LINK_S if endpoint.make_head().never_ran else endpoint.work_s
        try:
            async with asyncio.timeout(timeout_s):
                await self._work(endpoint, request, work_s, connected_at)
        except TimeoutError:
            raise SendFailure("no head in time", True, "no_answer") from None
        if endpoint.is_down:
            raise SendFailure("lost", True, "broken", is_broken_off=True)
        head = endpoint.make_head()
        endpoint.answers.append(Answer(now(), self._own_name, head))
        if not head.never_ran:
            endpoint.on_start(endpoint, request)
        first = first_number(request)
        return _SimulatedResponse(head, endpoint, request, connected_at, first)

    async def _work(
        self,
        endpoint: SimulatedEndpoint,
        request: EndpointRequest,
        work_s: float,
        connected_at: float,
    ) -> None:
        """Waits until an endpoint answers a request, or ends.

        :param work_s: seconds until the head of the response.
        """
        if endpoint.is_fatal(request):
            loop = asyncio.get_running_loop()
            loop.call_later(FATAL_S, self._cluster.crash, endpoint)
            work_s = NEVER_S
        work = asyncio.create_task(endpoint.work(work_s, connected_at))
        ended = asyncio.create_task(endpoint.ended.wait())
        try:
            await asyncio.wait({work, ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            work.cancel()
            ended.cancel()


class MemoryLoad(LoadService):
    """Exchanges load reports over the links of a :class:`MemoryCluster`."""

    def __init__(self, app: Application, cluster: GatewayCluster) -> None:
        super().__init__(app)
        self._cluster = cluster

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Sends and receives reports while the instance runs."""
        self._transport = _MemoryTransport(self._cluster, self._instance.peer_address)
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

    :ivar endpoint_loss: the share of the messages to endpoints that is lost.
    """

    endpoint_by_id: dict[str, SimulatedEndpoint]
    catalog: Catalog = CATALOG
    memory: MemoryCluster = attrs.field(init=False)
    frozen: set[str] = attrs.field(factory=set)
    replies: list[FakeReply] = attrs.field(factory=list)
    crashed_at: list[float] = attrs.field(factory=list)
    former_endpoints: list[SimulatedEndpoint] = attrs.field(factory=list)
    endpoint_loss: float = 0.0
    _chooser: random.Random = attrs.field(factory=lambda: random.Random(1))
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
            "permits",
            "limits",
            "quarantine",
            self._make_connector,
            "endpoint_caller",
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

    def is_message_lost(self) -> bool:
        """Returns whether a message to an endpoint is lost, drawn at random."""
        return self._chooser.random() < self.endpoint_loss

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
            silent_until=0.0,
            in_progress=0,
            arrivals=[],
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
        await self.memory.get(instance, "gateway").handle(request, reply)
        self.replies.append(reply)
        return reply

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


def make_endpoints(count: int, pool: str = "engines") -> dict[str, SimulatedEndpoint]:
    """Returns simulated endpoints by id."""
    ids = [f"{pool}-{number}" for number in range(count)]
    return {
        id: SimulatedEndpoint(Endpoint(id, pool, f"10.9.0.{number}:1", "a", 8))
        for number, id in enumerate(ids)
    }


@contextlib.asynccontextmanager
async def gateway_cluster(
    instances: int, endpoint_by_id: dict[str, SimulatedEndpoint], seed: int = 1
) -> AsyncIterator[GatewayCluster]:
    """Runs a cluster whose instances know each other."""
    cluster = GatewayCluster(endpoint_by_id)
    names = [f"n{number}" for number in range(instances)]
    async with memory_cluster(names, cluster.services(), seed=seed) as memory:
        cluster.memory = memory
        async with asyncio.timeout(30):
            while not all(
                len(item.members()) == instances
                for item in memory.services("membership")
            ):
                await asyncio.sleep(0.1)
        yield cluster
