"""Endpoints on a simulated clock, and what reaches them."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Callable, Sequence

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.exchange import CallerRequest, EndpointRequest, ResponseHead
from cicadacourse.util.clock import now
from tests.endpoint_links import Exchange

OK = 200
UNAVAILABLE = 503
MISDIRECTED = 421
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


def make_endpoints(count: int, pool: str = "engines") -> dict[str, SimulatedEndpoint]:
    """Returns simulated endpoints by id."""
    ids = [f"{pool}-{number}" for number in range(count)]
    return {
        id: SimulatedEndpoint(Endpoint(id, pool, f"10.9.0.{number}:1", "a", 8))
        for number, id in enumerate(ids)
    }
