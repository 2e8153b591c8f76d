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
from cicadacourse.platform._endpoint_connector import CONNECT_TIMEOUTS_S
from cicadacourse.util.clock import now
from standins.memory_cluster import MemoryCluster, memory_cluster
from tests.endpoint_links import (
    ENDPOINT_LINK_S,
    Channel,
    EndpointLink,
    EndpointLinks,
    Exchange,
    LinkFault,
)
from tests.test_gateway.test_gateway_histories import CATALOG, HOST, FakeReply

import_services()

OK = 200
UNAVAILABLE = 503
MISDIRECTED = 421
STREAMS = ("ask", "tell")
# How long after it began to run a fatal request its endpoint ends, in seconds.
FATAL_S = 0.09
# How long a connection is tried to which a message was lost, in seconds.
LOST_CONNECT_S = 0.1
# Longer than any test takes.
NEVER_S = 10_000.0
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
    :ivar retry_after_s: if not None, it refuses requests and wants none for this many
        seconds.
    :ivar refused_share: the share of the requests that it refuses then.
    :ivar is_leaving: whether its responses state that it is shutting down.
    :ivar fault_address: the address that its refusals blame, or None.
    :ivar is_replaced: whether another endpoint responds at its address.
    :ivar is_down: whether its process has ended.
    :ivar ended: set once its process has ended.
    :ivar silent_until: until when it sends nothing, loop time in seconds.
    :ivar muted_at: connections that were open then stay silent for good.
    :ivar accepts_while_silent: whether it accepts connections while it is silent.
    :ivar sent_answers: the heads that it sent, also those that nobody received.
    :ivar answers: the heads that instances received.
    :ivar in_progress: how many exchanges no instance has left yet.
    :ivar exchanges: all exchanges.
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
    refused_share: float = 1.0
    is_leaving: bool = False
    fault_address: str | None = None
    is_replaced: bool = False
    is_down: bool = False
    silent_until: float = 0.0
    muted_at: float = float("-inf")
    accepts_while_silent: bool = True
    in_progress: int = 0
    arrivals: list[Arrival] = attrs.field(factory=list)
    sent_answers: list[Answer] = attrs.field(factory=list)
    answers: list[Answer] = attrs.field(factory=list)
    exchanges: list[Exchange] = attrs.field(factory=list)
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

    def draw_refusal(self, chooser: random.Random) -> bool:
        """Draws whether it refuses a request as long as it wants none."""
        return self.refused_share == 1.0 or chooser.random() < self.refused_share

    def make_head(self, may_refuse: bool = True) -> ResponseHead:
        """Returns the head of its next response.

        :param may_refuse: whether it refuses the request if it wants none now.
        """
        refuses = may_refuse and self.retry_after_s is not None
        if self.is_replaced:
            status, retry_after_s = MISDIRECTED, None
        elif refuses:
            status, retry_after_s = UNAVAILABLE, self.retry_after_s
        else:
            status, retry_after_s = self.status, None
        is_refusal = self.is_replaced or refuses
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
    channel: Channel
    cluster: GatewayCluster
    own_name: str
    number: int

    async def read_chunk(self) -> bytes:
        """Returns the next event; breaks off once the endpoint or the link is down."""
        if self.number == self._events:
            self.channel.complete()
            return b""
        is_first = self.number == self._first
        wait_s = 0.0 if is_first else self.endpoint.event_s
        try:
            await self.channel.until_broken(self._receive(wait_s))
        except ConnectionResetError as error:
            raise SendFailure(
                str(error), True, "cut_short", is_broken_off=True
            ) from error
        if self.endpoint.is_down:
            raise SendFailure("lost", True, "cut_short", is_broken_off=True)
        self.number += 1
        endpoint = self.endpoint.endpoint
        event = make_event(self.request.caller, endpoint, self.number - 1)
        return event if self.endpoint.has_ids else event.partition(b"\n")[2]

    async def _receive(self, wait_s: float) -> None:
        """Waits until the next event is received."""
        await self.endpoint.work(wait_s, self.channel.made_at)
        await self.channel.link.passes()
        await self.cluster.wait_until_thawed(self.own_name)

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
    """Connects one instance to the endpoints of its cluster, and keeps connections."""

    name = "endpoint_connector"

    def __init__(self, app: Application, cluster: GatewayCluster, own: str):
        super().__init__(app)
        self._cluster = cluster
        self._by_id = cluster.endpoint_by_id
        self._own_name = own
        self._idle_by_id: dict[str, list[Channel]] = defaultdict(list)
        self._busy_by_id: dict[str, set[Channel]] = defaultdict(set)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        current = self.app.get("catalog").registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self.close_idle_connections(endpoint.id)

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes the kept connections to an endpoint."""
        for channel in self._idle_by_id.pop(endpoint_id, ()):
            channel.close()

    def abort_exchanges(self, endpoint_id: str) -> None:
        """Closes all connections to an endpoint."""
        for channel in self._busy_by_id.get(endpoint_id, ()):
            channel.close()
        self.close_idle_connections(endpoint_id)

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint's process has ended, or the link refuses."""
        link = self._cluster.links.get(self._own_name, endpoint)
        if self._cluster.is_message_lost() or link.is_hanging:
            await asyncio.sleep(LOST_CONNECT_S)
            return False
        await asyncio.sleep(2 * ENDPOINT_LINK_S)
        await self._cluster.wait_until_thawed(self._own_name)
        is_ended = endpoint.id not in self._by_id or self._by_id[endpoint.id].is_down
        return is_ended or link.is_refusing

    @contextlib.asynccontextmanager
    async def connect(
        self, endpoint: Endpoint, is_idempotent: bool, needs_new_connection: bool
    ) -> AsyncIterator[EndpointConnection]:
        """Yields a kept or a new connection to an endpoint."""
        channel = None
        if not needs_new_connection:
            channel = self._take_idle(endpoint, is_idempotent)
        is_kept = channel is not None
        if channel is None:
            channel = await self._open(endpoint)
        else:
            await self._cross()
        self._busy_by_id[endpoint.id].add(channel)
        try:
            yield _SimulatedConnection(self._cluster, self._own_name, channel, is_kept)
        finally:
            self._busy_by_id[endpoint.id].discard(channel)
            if channel.is_reusable(is_idempotent=True):
                self._idle_by_id[endpoint.id].append(channel)
            else:
                channel.close()

    def _take_idle(self, endpoint: Endpoint, is_idempotent: bool) -> Channel | None:
        """Returns the most recently used connection that may carry a request."""
        channels = self._idle_by_id[endpoint.id]
        while channels:
            channel = channels.pop()
            if self._is_usable(channel, endpoint, is_idempotent):
                channel.take()
                return channel
            channel.close()
        return None

    def _is_usable(
        self, channel: Channel, endpoint: Endpoint, is_idempotent: bool
    ) -> bool:
        """Returns whether a connection lives as far as the instance knows."""
        failed_at = self.app.get("reachability").failed_at(endpoint)
        return channel.is_reusable(is_idempotent) and channel.was_used_since(failed_at)

    def has_kept_connection(self, endpoint: Endpoint, is_idempotent: bool) -> bool:
        """Returns whether a kept connection may be used now."""
        return any(
            self._is_usable(item, endpoint, is_idempotent)
            for item in self._idle_by_id.get(endpoint.id, ())
        )

    async def _open(self, endpoint: Endpoint) -> Channel:
        """Connects to an endpoint.

        :raises SendFailure: if the endpoint can't be connected to.
        """
        simulated = self._by_id.get(endpoint.id)
        if simulated is None:
            raise SendFailure("connection refused", False, "unreachable")
        link = self._cluster.links.get(self._own_name, endpoint)
        try:
            await self._connect(simulated, link)
        except OSError as error:
            raise SendFailure(str(error), False, "unreachable") from error
        channel = Channel(simulated, link)
        link.channels.add(channel)
        return channel

    async def _connect(self, endpoint: SimulatedEndpoint, link: EndpointLink) -> None:
        if self._cluster.is_message_lost():
            await asyncio.sleep(LOST_CONNECT_S)
        await link.connect()
        if now() < endpoint.silent_until and not endpoint.accepts_while_silent:
            await asyncio.sleep(sum(CONNECT_TIMEOUTS_S))
            raise TimeoutError("not connected in time")
        await self._cluster.wait_until_thawed(self._own_name)
        if endpoint.is_down:
            raise ConnectionRefusedError("connection refused")

    async def _cross(self) -> None:
        """Waits as long as a new connection would take on a link that works."""
        if self._cluster.is_message_lost():
            await asyncio.sleep(LOST_CONNECT_S)
        await asyncio.sleep(ENDPOINT_LINK_S)


@attrs.define
class _SimulatedConnection(EndpointConnection):
    """A connection of an instance to an endpoint, for one exchange."""

    _cluster: GatewayCluster
    _own_name: str
    _channel: Channel
    is_kept: bool = False

    async def send(
        self, request: EndpointRequest, head_timeout_s: float
    ) -> EndpointResponse:
        """Sends a request and returns the head of its response."""
        try:
            async with asyncio.timeout(head_timeout_s):
                head = await self._channel.until_broken(self._receive_head(request))
        except TimeoutError:
            raise SendFailure("no head in time", True, "no_answer") from None
        except ConnectionResetError as error:
            raise SendFailure(str(error), True, "broken", is_broken_off=True) from error
        endpoint = self._channel.endpoint
        if endpoint.is_down:
            raise SendFailure("lost", True, "broken", is_broken_off=True)
        endpoint.answers.append(Answer(now(), self._own_name, head))
        if head.never_ran and self._channel.exchange is not None:
            self._channel.exchange.is_refused = True
        if not head.never_ran:
            endpoint.on_start(endpoint, request)
        first = first_number(request)
        return _SimulatedResponse(
            head,
            endpoint,
            request,
            self._channel,
            self._cluster,
            self._own_name,
            first,
        )

    async def _receive_head(self, request: EndpointRequest) -> ResponseHead:
        """Returns the head of the response once it is received, or the endpoint ends.

        A request that is sent while the link hangs arrives afterwards.
        """
        link, endpoint = self._channel.link, self._channel.endpoint
        await link.passes()
        endpoint.arrivals.append(Arrival(now(), self._own_name, request))
        self._channel.begin(request.caller.id, self._own_name)
        may_refuse = endpoint.draw_refusal(self._cluster.chooser)
        is_refused = endpoint.make_head(may_refuse).never_ran
        work_s = ENDPOINT_LINK_S if is_refused else endpoint.work_s
        await self._work(endpoint, request, work_s, self._channel.made_at)
        head = endpoint.make_head(may_refuse)
        if not endpoint.is_down:
            endpoint.sent_answers.append(Answer(now(), self._own_name, head))
        await link.passes()
        await self._cluster.wait_until_thawed(self._own_name)
        return head

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
    """Runs a cluster whose instances know each other.

    :param seed: seeds the faults and all that is drawn at random.
    """
    random.seed(seed)
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
