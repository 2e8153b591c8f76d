"""The HTTP face of an endpoint: runs requests, takes orders, answers health probes."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from typing import Any, Callable

import attrs
import tornado.web

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import MS_PER_S
from standins.platform._engine import Engine, EngineRefusal, StreamCut

OK = 200
REFUSED = 503
MISDIRECTED = 421
CONFLICT = 409
BAD_REQUEST = 400
SERVER_ERROR = 500


@attrs.define
class WorkerFaults:
    """What is wrong with an endpoint at the moment.

    :ivar errors: share of the requests that are run and answered with an error.
    :ivar resets: share of the requests that are run and whose connection is reset.
    :ivar cuts: share of the streams that break off after their second event.
    :ivar silent: whether requests are taken and never answered.
    :ivar extra: share of the answers that are followed by a second one.
    """

    errors: float = 0.0
    resets: float = 0.0
    cuts: float = 0.0
    silent: bool = False
    extra: float = 0.0


class Worker:
    """One endpoint: an engine, or a plain service where ``engine`` is None.

    :param id: the id under which it registers.
    :param work_s: how long a call to a plain service takes, in seconds.
    :param find_engine: returns the engine at an address, for helpers.
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
        self.leaving = False
        self.runs_by_request: Counter[str] = Counter()
        self.tenant_by_request: dict[str, str | None] = {}
        self.in_progress = 0
        self.random = random.Random(seed)

    def hits(self, share: float) -> bool:
        """Returns whether a fault of some share strikes now."""
        return share > 0 and self.random.random() < share


class _WorkerHandler(tornado.web.RequestHandler):
    """Refuses what is meant for another endpoint."""

    def initialize(self, worker: Worker) -> None:
        """Notes the endpoint; called by tornado."""
        self.worker = worker

    def prepare(self) -> None:
        """Answers 421 to a request for another endpoint."""
        expected = self.request.headers.get(names.HEADER_EXPECTED_ENDPOINT)
        if expected is not None and expected != self.worker.id:
            self.set_header(names.HEADER_NOT_EXECUTED, "1")
            self.set_status(MISDIRECTED)
            self.finish()

    def answer(self, body: dict[str, Any]) -> None:
        """Finishes with a JSON object."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _HealthHandler(_WorkerHandler):
    def get(self) -> None:
        """Answers 200 unless the endpoint leaves."""
        self.set_status(REFUSED if self.worker.leaving else OK)


class _OrderHandler(_WorkerHandler):
    def post(self) -> None:
        """Reserves or releases memory."""
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
        self.answer({"free": engine.profile.kv_tokens - engine.used_tokens})


class _RunHandler(_WorkerHandler):
    """Runs any other request."""

    async def get(self, *_: str) -> None:
        """Runs a request without a body."""
        await self._run()

    async def post(self, *_: str) -> None:
        """Runs a request with a body."""
        await self._run()

    def on_connection_close(self) -> None:
        """Stops work on a request whose sender has left; called by tornado."""
        task = getattr(self, "task", None)
        if task is not None:
            task.cancel()

    async def _run(self) -> None:
        self.task = asyncio.current_task()
        worker = self.worker
        worker.in_progress += 1
        try:
            self._echo()
            if worker.engine is None:
                await self._call()
            else:
                await self._stream(worker.engine)
        except asyncio.CancelledError:
            return
        finally:
            worker.in_progress -= 1

    def _echo(self) -> None:
        request_id = self.request.headers.get(names.HEADER_REQUEST_ID, "")
        self.set_header(names.HEADER_REQUEST_ID, request_id)

    def _note_run(self) -> None:
        headers = self.request.headers
        request_id = headers.get(names.HEADER_REQUEST_ID, "")
        self.worker.runs_by_request[request_id] += 1
        organisation = headers.get(names.HEADER_ORGANISATION)
        self.worker.tenant_by_request[request_id] = organisation
        self.set_header(names.HEADER_SIGNATURE, f"{self.worker.id}.{request_id}")

    async def _call(self) -> None:
        worker = self.worker
        self._note_run()
        if worker.faults.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(worker.work_s)
        if worker.hits(worker.faults.resets):
            self.request.connection.stream.close()
            return
        if worker.hits(worker.faults.errors):
            self.set_status(SERVER_ERROR)
        request_id = self.request.headers.get(names.HEADER_REQUEST_ID, "")
        self.finish(f"answer to {request_id}")
        if worker.hits(worker.faults.extra):
            await asyncio.sleep(0)
            stale = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
            self.request.connection.stream.write(stale)

    async def _stream(self, engine: Engine) -> None:
        worker = self.worker
        headers = self.request.headers
        prompt, _, output = headers[names.HEADER_TOKEN_COUNTS].partition(",")
        last = headers.get(names.HEADER_LAST_EVENT_ID)
        first = 0 if last is None else int(last) + 1
        if worker.faults.silent:
            await asyncio.Event().wait()
        try:
            made = 0
            async for number in engine.run(
                int(prompt), int(output), self._helpers(), first
            ):
                if not made:
                    self._note_run()
                    self.set_header("Content-Type", "text/event-stream")
                made += 1
                self.write(f"id: {number}\ndata: {headers['Host']} {number}\n\n")
                await self.flush()
                if made == 2 and worker.hits(worker.faults.cuts):
                    self.request.connection.stream.close()
                    return
        except EngineRefusal as refusal:
            self._refuse(refusal)
        except StreamCut:
            self.request.connection.stream.close()

    def _helpers(self) -> list[tuple[Engine, str | None]]:
        """Returns the engines that are to read along, with their tickets."""
        found = []
        listed = self.request.headers.get(names.HEADER_HELPERS, "")
        for item in filter(None, listed.split(",")):
            address, _, ticket = item.partition("/")
            engine = self.worker.find_engine(address)
            if engine is None:
                raise EngineRefusal("helper")
            found.append((engine, ticket or None))
        return found

    def _refuse(self, refusal: EngineRefusal) -> None:
        self.set_status(REFUSED)
        self.set_header(names.HEADER_NOT_EXECUTED, "1")
        if refusal.fault_at is not None:
            self.set_header(names.HEADER_FAULTY_ENDPOINT, refusal.fault_at.name)
        self.finish()


def make_worker_application(worker: Worker) -> tornado.web.Application:
    """Returns an endpoint's paths; as the platform names them."""
    arguments = {"worker": worker}
    return tornado.web.Application(
        [
            ("/health", _HealthHandler, arguments),
            ("/api/order", _OrderHandler, arguments),
            ("/(.*)", _RunHandler, arguments),
        ],
        log_function=lambda _: None,
    )
