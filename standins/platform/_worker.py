"""One endpoint: its faults, what reaches it, and what it runs."""

from __future__ import annotations

import random
from collections import Counter
from typing import Callable

import attrs

from cicadacourse.util.clock import now
from standins.platform._engine import Engine


@attrs.define
class WorkerFaults:
    """The faults that an endpoint simulates at the moment.

    :ivar error_rate: the fraction of calls that run and get an error response.
    :ivar reset_rate: the fraction of calls that run and whose connection is then closed
        without a response.
    :ivar cut_rate: the fraction of streams whose connection is closed after their
        second event.
    :ivar is_unresponsive: whether requests are accepted but get no response.
    :ivar extra_response_rate: the fraction of responses to calls that a second,
        unsolicited response follows on the same connection.
    """

    error_rate: float = 0.0
    reset_rate: float = 0.0
    cut_rate: float = 0.0
    is_unresponsive: bool = False
    extra_response_rate: float = 0.0


@attrs.frozen
class RequestContent:
    """What two requests have in common that are the same but for their ids.

    :param organisation: the organisation in its header; None without the header.
    """

    method: str = "POST"
    path: str = "/"
    organisation: str | None = None
    body: bytes = b""


@attrs.frozen
class Arrival:
    """A request that reached an endpoint.

    :param at: loop time in seconds.
    :param request_id: the request's id.
    :param prefix_ids: the ids of the parts of its prompt, in order.
    """

    at: float
    request_id: str
    prefix_ids: tuple[str, ...] = ()
    content: RequestContent = RequestContent()


@attrs.frozen
class Crash:
    """The crash of an endpoint under a request.

    :param at: loop time in seconds.
    """

    at: float
    content: RequestContent


@attrs.frozen
class Decline:
    """A request that an endpoint in need turned away.

    :param at: loop time in seconds.
    :param retry_after_s: for how long it wants no more from the instance, in seconds.
    """

    at: float
    request_id: str
    retry_after_s: float


class Worker:
    """One endpoint: an engine, or a plain service where ``engine`` is None.

    :param id: the id under which it registers.
    :param work_s: how long a call to a plain service takes, in seconds.
    :param find_engine: returns the engine at an address, or None; finds helpers.
    :param seed: seeds the choice of the requests that meet a fault.
    :ivar is_leaving: whether health probes get a response with status 503.
    :ivar runs_by_request: how often each request ran, by request id.
    :ivar organisation_by_request: the organisation in each request's header, by
        request id; None without the header.
    :ivar in_progress: the number of requests in progress.
    :ivar ended_at_by_request: when the work on each request ended, loop times in
        seconds, by request id.
    :ivar request_limit: the requests per second that it takes from all instances
        together, which its responses name; None if they name none.
    :ivar arrivals: the requests that reached it, whether or not it ran them.
    :ivar crashing_part_ids: the parts of prompts under which it crashes as soon as it
        begins to write an answer.
    :ivar crashing_contents: the requests under which it crashes soon after it
        begins to run them.
    :ivar crash: its crash; None while it runs.
    :ivar on_crash: ends its process.
    :ivar retry_after_header: if not None, it refuses each request and states this value
        as the time for which it wants no other.
    :ivar leaving_header: the value by which its responses state whether it is shutting
        down; None if they say nothing.
    :ivar leaving_ids: the ids of the requests whose responses had that header.
    :ivar declines_until: the loop time in seconds until which it turns requests away.
    :ivar declines: the requests that it turned away.
    """

    def __init__(
        self,
        id: str,
        engine: Engine | None = None,
        work_s: float = 0.02,
        find_engine: Callable[[str], Engine | None] = lambda _: None,
        seed: int = 1,
    ) -> None:
        self.id = id
        self.engine = engine
        self.work_s = work_s
        self.find_engine = find_engine
        self.faults = WorkerFaults()
        self.is_leaving = False
        self.runs_by_request: Counter[str] = Counter()
        self.organisation_by_request: dict[str, str | None] = {}
        self.in_progress = 0
        self.ended_at_by_request: dict[str, float] = {}
        self.request_limit: float | None = None
        self.arrivals: list[Arrival] = []
        self.crashing_part_ids: set[str] = set()
        self.crashing_contents: set[RequestContent] = set()
        self.crash: Crash | None = None
        self.on_crash: Callable[[], None] = lambda: None
        self.retry_after_header: str | None = None
        self.leaving_header: str | None = None
        self.leaving_ids: set[str] = set()
        self.declines_until = 0.0
        self.declines: list[Decline] = []
        self.random = random.Random(seed)

    def draw_fault(self, probability: float) -> bool:
        """Draws whether a fault of this probability occurs now."""
        return probability > 0 and self.random.random() < probability

    def start_crash(self, content: RequestContent) -> None:
        """Ends its process under a request, unless it has ended before."""
        if self.crash is None:
            self.crash = Crash(now(), content)
            self.on_crash()
