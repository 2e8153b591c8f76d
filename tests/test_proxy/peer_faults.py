"""Faults of single messages between instances, and exchanges of one instance."""

from __future__ import annotations

import asyncio
import enum
from typing import Any, Awaitable, Callable

import attrs

from cicadacourse.exchange import CallerRequest, EndpointRequest, Prompt, SendFailure
from cicadacourse.peers import MemoryPeers
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster
from tests.simulated_endpoints import SimulatedEndpoint, make_event

# Longer than a test waits for a reply.
LATE_S = 0.3


class MessageFault(enum.Enum):
    """What becomes of one message to a peer."""

    LOSE_REQUEST = "lose request"
    LOSE_REPLY = "lose reply"
    DUPLICATE = "duplicate"
    LATE_REQUEST = "late request"
    LATE_REPLY = "late reply"


@attrs.define(eq=False)
class MessageFaults:
    """Disturbs messages that one instance sends, by their name and number.

    :param fault: what becomes of the message, None if only ``on_sent`` is called.
    :param on_sent: called with the address that the message goes to.
    :ivar met: the number of messages that were disturbed.
    """

    peers: MemoryPeers
    name: str
    number: int
    fault: MessageFault | None = None
    on_sent: Callable[[str], Awaitable[None]] | None = None
    met: int = 0
    _seen: int = 0
    _round_trip: Any = None

    def __attrs_post_init__(self) -> None:
        self._round_trip = self.peers._round_trip
        self.peers._round_trip = self._disturbed_round_trip

    async def _disturbed_round_trip(
        self, address: str, frame: Any, timeout_s: float
    ) -> Any:
        if frame.name != self.name:
            return await self._round_trip(address, frame, timeout_s)
        self._seen += 1
        if self._seen != self.number:
            return await self._round_trip(address, frame, timeout_s)
        self.met += 1
        if self.on_sent is not None:
            await self.on_sent(address)
        if self.fault is MessageFault.LOSE_REQUEST:
            await asyncio.get_running_loop().create_future()
        if self.fault is MessageFault.LATE_REQUEST:
            await asyncio.sleep(LATE_S)
        if self.fault is MessageFault.DUPLICATE:
            await self._round_trip(address, frame, timeout_s)
        reply = await self._round_trip(address, frame, timeout_s)
        if self.fault is MessageFault.LOSE_REPLY:
            await asyncio.get_running_loop().create_future()
        if self.fault is MessageFault.LATE_REPLY:
            await asyncio.sleep(LATE_S)
        return reply


@attrs.define(eq=False)
class Outcome:
    """What an instance saw of an exchange.

    :ivar body: what it read of the response.
    :ivar is_complete: whether it read the end.
    :ivar ended_at: when the exchange was over, loop time in seconds.
    """

    body: bytes = b""
    is_complete: bool = False
    failure: SendFailure | None = None
    ended_at: float = 0.0
    chunk_times: list[float] = attrs.field(factory=list)


def make_request(
    endpoint: SimulatedEndpoint, id: str = "x1", body: bytes = b"", **fields: Any
) -> EndpointRequest:
    """Returns a request for a stream of an endpoint."""
    caller = CallerRequest(
        id=id,
        method="POST",
        host="h",
        target="/ask/x",
        key=None,
        arrived=now(),
        timeout_s=None,
        last_event_id=None,
        prompt=Prompt("m", 100, 10),
        headers=(),
        body=body,
    )
    fields = {"organisation": None, "time_left_s": 5.0, **fields}
    return EndpointRequest(caller, endpoint.endpoint, **fields)


def expected_body(endpoint: SimulatedEndpoint, request: EndpointRequest) -> bytes:
    """Returns the whole body of the response to a request for a stream."""
    events = range(endpoint.events)
    return b"".join(
        make_event(request.caller, endpoint.endpoint, number) for number in events
    )


async def exchange(
    cluster: GatewayCluster,
    request: EndpointRequest,
    instance: str = "n0",
    is_idempotent: bool = False,
    pause_s: float = 0.0,
) -> Outcome:
    """Makes one exchange of an instance and returns its outcome.

    :param pause_s: how long the caller takes to read each chunk.
    """
    outcome = Outcome()
    client = cluster.memory.get(instance, "endpoint_caller")
    try:
        async with client.exchange(request, is_idempotent, 5.0) as response:
            while chunk := await response.read_chunk():
                outcome.body += chunk
                outcome.chunk_times.append(now())
                await asyncio.sleep(pause_s)
            outcome.is_complete = True
    except SendFailure as failure:
        outcome.failure = failure
    outcome.ended_at = now()
    return outcome


def lose_link(cluster: GatewayCluster, instance: str, peer: str = "n1") -> None:
    """Cuts an instance off from all endpoints, and lets it know that."""
    cluster.cut([instance])
    reachability = cluster.memory.get(instance, "reachability")
    for endpoint in cluster.endpoint_by_id.values():
        reachability.record_not_connected(endpoint.endpoint)
        reachability.record_reached_by_peer(endpoint.endpoint, peer)
