"""Connections of an instance to the simulated endpoints of its cluster."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from typing import TYPE_CHECKING, AsyncIterator

import attrs

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import (
    EndpointConnection,
    EndpointConnector,
    EndpointRequest,
    EndpointResponse,
    ResponseHead,
    SendFailure,
)
from cicadacourse.platform._endpoint_connector import CONNECT_TIMEOUTS_S
from cicadacourse.util.clock import now
from tests.endpoint_links import ENDPOINT_LINK_S, Channel, EndpointLink
from tests.simulated_endpoints import Answer, Arrival, SimulatedEndpoint, make_event

if TYPE_CHECKING:
    from tests.gateway_cluster import GatewayCluster

# How long after it began to run a fatal request its endpoint ends, in seconds.
FATAL_S = 0.09
# How long a connection is tried to which a message was lost, in seconds.
LOST_CONNECT_S = 0.1
# Longer than any test takes.
NEVER_S = 10_000.0


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
