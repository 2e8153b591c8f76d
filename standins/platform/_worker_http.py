"""The HTTP interface of an endpoint: requests, KV-cache orders and health probes."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from typing import Any, Callable

import attrs
import tornado.web
from tornado.httputil import HTTPHeaders

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import MS_PER_S, now
from standins._http import stream_of
from standins.platform._engine import Engine, EngineRefusal

OK = 200
SERVICE_UNAVAILABLE = 503
MISDIRECTED = 421
CONFLICT = 409
BAD_REQUEST = 400
SERVER_ERROR = 500


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
class Arrival:
    """A request that reached an endpoint.

    :param at: loop time in seconds.
    :param request_id: the request's id.
    :param prefix_ids: the ids of the parts of its prompt, in order.
    """

    at: float
    request_id: str
    prefix_ids: tuple[str, ...] = ()


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
    :ivar request_limit: the requests per second that it takes from all instances
        together, which its responses name; None if they name none.
    :ivar retry_after: if not None, it refuses each request and states this value as the
        time for which it wants no other.
    :ivar leaving: the value by which its responses state whether it is shutting down;
        None if they say nothing.
    :ivar arrivals: the requests that reached it, whether or not it ran them.
    :ivar crashing_part_ids: the parts of prompts under which it crashes as soon as it
        begins to write an answer.
    :ivar on_crash: ends its process.
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
        self.request_limit: float | None = None
        self.retry_after: str | None = None
        self.leaving: str | None = None
        self.arrivals: list[Arrival] = []
        self.crashing_part_ids: set[str] = set()
        self.on_crash: Callable[[], None] = lambda: None
        self.random = random.Random(seed)

    def draw_fault(self, probability: float) -> bool:
        """Draws whether a fault of this probability occurs now."""
        return probability > 0 and self.random.random() < probability


class _WorkerHandler(tornado.web.RequestHandler):
    """Rejects requests that are meant for another endpoint."""

    def initialize(self, worker: Worker) -> None:
        """Stores the endpoint that serves the request; called by tornado."""
        self.worker = worker

    def prepare(self) -> None:
        """Responds with 421 to a request for another endpoint; called by tornado."""
        expected = self.request.headers.get(names.HEADER_EXPECTED_ENDPOINT)
        if expected is not None and expected != self.worker.id:
            self.set_header(names.HEADER_NOT_EXECUTED, "1")
            self.set_status(MISDIRECTED)
            self.finish()
            return
        if self.worker.request_limit is not None:
            self.set_header(names.HEADER_REQUEST_LIMIT, str(self.worker.request_limit))
        if self.worker.leaving is not None:
            self.set_header(names.HEADER_ENDPOINT_LEAVING, self.worker.leaving)

    def refuse_for_now(self, retry_after: str) -> None:
        """Refuses the request and states for how long no other is wanted."""
        self.set_status(SERVICE_UNAVAILABLE)
        self.set_header(names.HEADER_NOT_EXECUTED, "1")
        self.set_header(names.HEADER_RETRY_AFTER, retry_after)
        self.finish()

    def send_json(self, body: dict[str, Any]) -> None:
        """Finishes the response with a JSON object."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _HealthHandler(_WorkerHandler):
    def get(self) -> None:
        """Responds with 200, or 503 if the endpoint is leaving."""
        self.set_status(SERVICE_UNAVAILABLE if self.worker.is_leaving else OK)


class _OrderHandler(_WorkerHandler):
    def post(self) -> None:
        """Reserves or releases KV cache and responds with the free tokens.

        The status is 409 if too little is free, and 400 for another order or an
        endpoint without an engine.
        """
        if self.worker.retry_after is not None:
            self.refuse_for_now(self.worker.retry_after)
            return
        order = json.loads(self.request.body)
        engine = self.worker.engine
        if engine is None or order.get("op") not in ("reserve", "release"):
            self.set_status(BAD_REQUEST)
            return
        if order["op"] == "release":
            engine.release(order["id"])
        elif not engine.reserve(
            order["id"], order["tokens"], order["holdMs"] / MS_PER_S
        ):
            self.set_status(CONFLICT)
        self.send_json({"free": engine.profile.kv_tokens - engine.used_tokens})


class _RunHandler(_WorkerHandler):
    """Runs a request as a call to a plain service or as a stream of an engine."""

    async def get(self, *_: str) -> None:
        """Runs a request without a body."""
        await self._run()

    async def post(self, *_: str) -> None:
        """Runs a request with a body."""
        await self._run()

    def on_connection_close(self) -> None:
        """Cancels a request whose sender has disconnected; called by tornado."""
        task = getattr(self, "task", None)
        if task is not None:
            task.cancel()

    async def _run(self) -> None:
        self.task = asyncio.current_task()
        worker = self.worker
        worker.in_progress += 1
        worker.arrivals.append(_read_arrival(self.request.headers))
        try:
            self._echo_request_id()
            if worker.retry_after is not None:
                self.refuse_for_now(worker.retry_after)
            elif worker.engine is None:
                await self._serve_call()
            else:
                await self._serve_stream(worker.engine)
        except asyncio.CancelledError:
            return
        finally:
            worker.in_progress -= 1

    def _echo_request_id(self) -> None:
        request_id = self.request.headers.get(names.HEADER_REQUEST_ID, "")
        self.set_header(names.HEADER_REQUEST_ID, request_id)

    def _record_run(self) -> None:
        headers = self.request.headers
        request_id = headers.get(names.HEADER_REQUEST_ID, "")
        self.worker.runs_by_request[request_id] += 1
        organisation = headers.get(names.HEADER_ORGANISATION)
        self.worker.organisation_by_request[request_id] = organisation
        self.set_header(names.HEADER_SIGNATURE, f"{self.worker.id}.{request_id}")

    async def _serve_call(self) -> None:
        worker = self.worker
        self._record_run()
        if worker.faults.is_unresponsive:
            await asyncio.Event().wait()
        await asyncio.sleep(worker.work_s)
        if worker.draw_fault(worker.faults.reset_rate):
            stream_of(self.request).close()
            return
        if worker.draw_fault(worker.faults.error_rate):
            self.set_status(SERVER_ERROR)
        request_id = self.request.headers.get(names.HEADER_REQUEST_ID, "")
        self.finish(f"answer to {request_id}")
        if worker.draw_fault(worker.faults.extra_response_rate):
            await asyncio.sleep(0)
            stale = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
            stream_of(self.request).write(stale)

    async def _serve_stream(self, engine: Engine) -> None:
        worker = self.worker
        headers = self.request.headers
        prompt, _, output = headers[names.HEADER_TOKEN_COUNTS].partition(",")
        last_event_id = headers.get(names.HEADER_LAST_EVENT_ID)
        first_event = 0 if last_event_id is None else int(last_event_id) + 1
        if worker.faults.is_unresponsive:
            await asyncio.Event().wait()
        try:
            sent_events = 0
            async for number in engine.run(
                int(prompt), int(output), self._find_helpers(), first_event
            ):
                if not sent_events:
                    self._record_run()
                    self.set_header("Content-Type", "text/event-stream")
                sent_events += 1
                if self._is_crashing():
                    await self._crash()
                    return
                self.write(f"id: {number}\ndata: {headers['Host']} {number}\n\n")
                await self.flush()
                if sent_events == 2 and worker.draw_fault(worker.faults.cut_rate):
                    stream_of(self.request).close()
                    return
        except EngineRefusal as refusal:
            self._refuse(refusal)

    def _is_crashing(self) -> bool:
        parts = _read_arrival(self.request.headers).prefix_ids[:-1]
        return not self.worker.crashing_part_ids.isdisjoint(parts)

    async def _crash(self) -> None:
        """Ends the process inside the first event of an answer without a length."""
        self.write("id: 0\nda")
        await self.flush()
        self.worker.on_crash()

    def _find_helpers(self) -> list[tuple[Engine, str | None]]:
        """Returns the helpers that the request names, with their reservation ids.

        :raises EngineRefusal: if there is no engine at an address.
        """
        found = []
        header = self.request.headers.get(names.HEADER_HELPERS, "")
        for item in filter(None, header.split(",")):
            address, _, reservation_id = item.partition("/")
            engine = self.worker.find_engine(address)
            if engine is None:
                raise EngineRefusal("helper")
            found.append((engine, reservation_id or None))
        return found

    def _refuse(self, refusal: EngineRefusal) -> None:
        self.set_status(SERVICE_UNAVAILABLE)
        self.set_header(names.HEADER_NOT_EXECUTED, "1")
        if refusal.faulty_engine is not None:
            self.set_header(names.HEADER_FAULTY_ENDPOINT, refusal.faulty_engine.name)
        self.finish()


def _read_arrival(headers: HTTPHeaders) -> Arrival:
    parts = filter(None, headers.get(names.HEADER_PROMPT_PARTS, "").split(","))
    prefix_ids = tuple(part.partition(":")[0].strip() for part in parts)
    return Arrival(now(), headers.get(names.HEADER_REQUEST_ID, ""), prefix_ids)


def make_worker_application(worker: Worker) -> tornado.web.Application:
    """Returns the application that serves the paths of the platform's endpoints."""
    arguments = {"worker": worker}
    return tornado.web.Application(
        [
            ("/health", _HealthHandler, arguments),
            ("/api/order", _OrderHandler, arguments),
            ("/(.*)", _RunHandler, arguments),
        ],
        log_function=lambda _: None,
    )
