"""The HTTP interface of an endpoint: requests, KV-cache orders and health probes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import tornado.web
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import MS_PER_S, now
from standins._http import stream_of
from standins.platform._engine import Engine, EngineRefusal
from standins.platform._worker import Arrival, Decline, RequestContent, Worker

OK = 200
SERVICE_UNAVAILABLE = 503
MISDIRECTED = 421
CONFLICT = 409
BAD_REQUEST = 400
SERVER_ERROR = 500
# How long after it begins to run a crashing request an endpoint ends.
CRASH_DELAYS_S = (0.06, 0.12)
# The fraction of these crashes that some bytes of a response precede.
FIRST_BYTES_RATE = 0.2


class _WorkerHandler(tornado.web.RequestHandler):
    """Rejects requests that are meant for another endpoint."""

    def initialize(self, worker: Worker) -> None:
        """Stores the endpoint that serves the request; called by tornado."""
        self.worker = worker

    def prepare(self) -> None:
        """Responds with 421 to a request for another endpoint; called by tornado."""
        if self.worker.leaving_header is not None:
            self.set_header(names.HEADER_ENDPOINT_LEAVING, self.worker.leaving_header)
            self.worker.leaving_ids.add(self.request_id)
        expected = self.request.headers.get(names.HEADER_EXPECTED_ENDPOINT)
        if expected is not None and expected != self.worker.id:
            self.set_header(names.HEADER_REQUEST_ID, self.request_id)
            self.set_header(names.HEADER_NOT_EXECUTED, "1")
            self.set_status(MISDIRECTED)
            self.finish()
            return
        if self.worker.request_limit is not None:
            self.set_header(names.HEADER_REQUEST_LIMIT, str(self.worker.request_limit))

    def refuse_for_now(self, retry_after: str) -> None:
        """Refuses the request and states for how long no other is wanted."""
        self.set_status(SERVICE_UNAVAILABLE)
        self.set_header(names.HEADER_NOT_EXECUTED, "1")
        self.set_header(names.HEADER_RETRY_AFTER, retry_after)
        self.finish()

    @property
    def request_id(self) -> str:
        """The id of the request; empty without one."""
        return self.request.headers.get(names.HEADER_REQUEST_ID, "")

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
        if self.worker.retry_after_header is not None:
            self.refuse_for_now(self.worker.retry_after_header)
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
        self.arrival = _read_arrival(self.request)
        worker.arrivals.append(self.arrival)
        try:
            self.set_header(names.HEADER_REQUEST_ID, self.request_id)
            if worker.retry_after_header is not None:
                self.refuse_for_now(worker.retry_after_header)
            elif now() < worker.declines_until:
                self._decline(worker.declines_until - now())
            elif self.arrival.content in worker.crashing_contents:
                await self._crash_soon()
            elif worker.engine is None:
                await self._serve_call()
            else:
                await self._serve_stream(worker.engine)
        except (asyncio.CancelledError, StreamClosedError):
            return
        finally:
            worker.in_progress -= 1
            worker.ended_at_by_request[self.request_id] = now()

    def _decline(self, retry_after_s: float) -> None:
        """Turns the request away; the endpoint wants no more for so many seconds."""
        self.worker.declines.append(Decline(now(), self.request_id, retry_after_s))
        self.refuse_for_now(f"{retry_after_s:.3f}")

    def _record_run(self) -> None:
        headers, request_id = self.request.headers, self.request_id
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
        self.finish(f"answer to {self.request_id}")
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
                    await self._crash_inside_event()
                    return
                self.write(f"id: {number}\ndata: {headers['Host']} {number}\n\n")
                await self.flush()
                if sent_events == 2 and worker.draw_fault(worker.faults.cut_rate):
                    stream_of(self.request).close()
                    return
        except EngineRefusal as refusal:
            self._refuse(refusal)

    def _is_crashing(self) -> bool:
        parts = self.arrival.prefix_ids[:-1]
        return not self.worker.crashing_part_ids.isdisjoint(parts)

    async def _crash_inside_event(self) -> None:
        """Ends the process inside the first event of an answer without a length."""
        await self._send_first_bytes()
        self.worker.start_crash(self.arrival.content)

    async def _crash_soon(self) -> None:
        """Ends the process shortly afterwards, even if the sender has disconnected."""
        worker, delay_s = self.worker, self.worker.random.uniform(*CRASH_DELAYS_S)
        self._record_run()
        asyncio.get_running_loop().call_later(
            delay_s, worker.start_crash, self.arrival.content
        )
        if worker.draw_fault(FIRST_BYTES_RATE):
            await self._send_first_bytes()
        await asyncio.Event().wait()

    async def _send_first_bytes(self) -> None:
        self.write("id: 0\nda")
        await self.flush()

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


def _read_arrival(request: HTTPServerRequest) -> Arrival:
    headers = request.headers
    parts = filter(None, headers.get(names.HEADER_PROMPT_PARTS, "").split(","))
    prefix_ids = tuple(part.partition(":")[0].strip() for part in parts)
    content = RequestContent(
        request.method or "",
        request.path,
        headers.get(names.HEADER_ORGANISATION),
        request.body,
    )
    return Arrival(now(), headers.get(names.HEADER_REQUEST_ID, ""), prefix_ids, content)


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
