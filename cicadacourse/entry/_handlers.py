"""The HTTP handlers that callers and operators reach."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import tornado.web
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from cicadacourse.entry._settings import CALLERS_LOST, EntrySettings
from cicadacourse.entry._sink import CallerLost, Sink
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.metrics import REFUSALS
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.entry._service import Entry

NDJSON = "application/x-ndjson"


class EntryHandler(tornado.web.RequestHandler):
    """Base of the handlers."""

    request: HTTPServerRequest

    @property
    def entry(self) -> Entry:
        """The service that the handler works for."""
        return self.application.settings["entry"]

    def set_default_headers(self) -> None:
        """Closes kept connections of an instance that is leaving."""
        self.clear_header("Server")
        if self.entry.leaving:
            self.set_header("Connection", "close")

    def answer(self, body: dict[str, Any], status: int = 200) -> None:
        """Ends with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body) + "\n")

    def refuse(self, request_id: str, error: Error) -> None:
        """Ends with the documented form of an error."""
        body = {"request": request_id, "error": error.to_json()}
        if error.kind in (ErrorKind.LEAVING, ErrorKind.NOT_READY):
            body["addresses"] = self.entry.addresses()
        retry_after_s = body["error"].get("retry_after_s")
        if retry_after_s:
            self.set_header("Retry-After", str(max(1, round(retry_after_s))))
        self.answer(body, error.answer.status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers what tornado refuses in the documented form."""
        kind = ErrorKind.INTERNAL if status_code >= 500 else ErrorKind.BAD_REQUEST
        error = Error(kind, self._reason, f"http_{status_code}")
        self.entry.app.metrics.count(REFUSALS, reason=error.label)
        self.answer({"request": "", "error": error.to_json()}, status_code)


class NotFoundHandler(EntryHandler):
    """Every other path."""

    def prepare(self) -> None:
        """Refuses."""
        self.send_error(404)


class AddressesHandler(EntryHandler):
    """``/v1/addresses``: which instances to use."""

    def get(self) -> None:
        """Answers with a few addresses and how long to keep them."""
        self.answer(self.entry.look_up())


class StatusHandler(EntryHandler):
    """``/v1/status``: this instance's view."""

    def get(self) -> None:
        """Answers with the view as JSON."""
        self.answer(self.entry.status())


class MetricsHandler(EntryHandler):
    """``/metrics``: counters and gauges."""

    def get(self) -> None:
        """Answers in Prometheus' text form."""
        body, headers = self.entry.app.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class HealthHandler(EntryHandler):
    """``/health``: whether the process works."""

    def get(self) -> None:
        """Answers whenever the event loop runs."""
        self.answer({"health": "ok"})


class ReadyHandler(EntryHandler):
    """``/ready``: whether callers may be sent here."""

    def get(self) -> None:
        """Answers with status 503 and the reason if not."""
        reason = self.entry.not_ready_reason()
        self.answer({"ready": not reason, "reason": reason}, 503 if reason else 200)


class HttpSink(Sink):
    """An answer over HTTP; the write buffer holds one part at the most."""

    def __init__(self, handler: RequestsHandler, stall_s: float) -> None:
        self._handler = handler
        self._stall_s = stall_s

    async def send(self, data: bytes) -> None:
        if not self.started:
            self.started = True
            self._handler.set_header("Content-Type", NDJSON)
        self._handler.write(data)
        flushed = asyncio.ensure_future(self._handler.flush())
        try:
            # Mostly the socket takes all at once; only else is a timer worth its cost.
            if flushed.done():
                flushed.result()
                return
            async with asyncio.timeout(self._stall_s):
                await flushed
        except StreamClosedError:
            raise CallerLost("left") from None
        except TimeoutError:
            self._handler.cut_off()
            raise CallerLost("too_slow") from None

    async def refuse(self, request_id: str, error: Error) -> None:
        self._handler.refuse(request_id, error)


@tornado.web.stream_request_body
class RequestsHandler(EntryHandler):
    """``/v1/requests``: the requests of callers."""

    def prepare(self) -> None:
        """Bounds the body before any of it is read."""
        self.arrived_at = now()
        self._chunks: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task | None = None
        self._held = False
        self._settings = self.entry.app.settings.get(EntrySettings)
        self._timer = asyncio.get_running_loop().call_later(
            self._settings.body_timeout_s, self._give_up_on_body
        )
        error = self.entry.reason_to_refuse()
        if error is None and self._declared_size() > self._settings.body_limit_bytes:
            error = _too_large()
        if error is not None:
            self._refuse_early(error)
            return
        self.request.connection.set_max_body_size(self._settings.body_limit_bytes + 1)
        self.entry.hold()
        self._held = True

    def data_received(self, chunk: bytes) -> None:
        """Keeps a part of the body."""
        self._size += len(chunk)
        if self._finished:
            return
        if self._size > self._settings.body_limit_bytes:
            self._refuse_early(_too_large())
            return
        self._chunks.append(chunk)

    async def post(self) -> None:
        """Serves the request."""
        self._timer.cancel()
        body = b"".join(self._chunks)
        self._chunks.clear()
        sink = HttpSink(self, self._settings.caller_stall_s)
        self._task = asyncio.create_task(
            self.entry.path.serve(body, self.arrived_at, sink)
        )
        try:
            await self._task
        except asyncio.CancelledError:
            self.entry.app.metrics.count(CALLERS_LOST, reason="left")
        finally:
            self._let_go()
        if not self._finished:
            self.finish()

    def cut_off(self) -> None:
        """Closes the connection of a caller that takes nothing."""
        self.request.connection.stream.close()

    def on_connection_close(self) -> None:
        """Ends the work for a caller that left."""
        super().on_connection_close()
        self._let_go()
        if self._task is not None:
            self._task.cancel()

    def on_finish(self) -> None:
        """Gives the place of this request free."""
        self._let_go()

    def _let_go(self) -> None:
        self._timer.cancel()
        if self._held and (self._task is None or self._task.done()):
            self._held = False
            self.entry.let_go()

    def _declared_size(self) -> int:
        length = self.request.headers.get("Content-Length", "0")
        return int(length) if length.isdigit() else 0

    def _give_up_on_body(self) -> None:
        if not self._finished:
            detail = "the body did not arrive in time"
            self._refuse_early(Error(ErrorKind.BAD_REQUEST, detail, "body_timeout"))

    def _refuse_early(self, error: Error) -> None:
        """Refuses before the body is there, and closes the connection."""
        self.entry.app.metrics.count(REFUSALS, reason=error.label)
        self._chunks.clear()
        self.set_header("Connection", "close")
        self.refuse("", error)


def _too_large() -> Error:
    return Error(ErrorKind.TOO_LARGE, "the body is too large", "body_bytes")
