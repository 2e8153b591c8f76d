"""The HTTP server for callers: passes each request to the gateway with its reply."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator, Callable

from returns.result import Failure, Result
from tornado.iostream import StreamClosedError

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CallerLimits, CatalogSettings
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.events import CATALOG_CHANGED
from cicadacourse.exchange import CallerRequest
from cicadacourse.gateway import BodyTerms, Gateway, leaving_error
from cicadacourse.logs import CALLER_DISCONNECTED, log
from cicadacourse.platform._caller_body import BodyReader
from cicadacourse.platform._caller_connections import WaitingConnections
from cicadacourse.platform._caller_reply import CallerReply
from cicadacourse.platform._client_server import ClientServer
from cicadacourse.platform._client_stream import ClientStream
from cicadacourse.platform._request_reader import RequestReaderFactory
from cicadacourse.platform._settings import ListenSettings
from cicadacourse.platform._wait_limits import WaitLimits
from cicadacourse.resources import Resources
from cicadacourse.tasks import Tasks
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("ingress")

# Larger heads and bodies are not read, even if the configured limits allow them.
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 8_388_608
# Idle limit of connections until the configuration is known.
IDLE_TIMEOUT_S = 120.0
# Added to the configured idle limit, so that a caller that keeps to the limit does
# not send on a connection that is being closed.
IDLE_MARGIN_S = 2.0
LEAVE_POLL_INTERVAL_S = 0.05
# How many times the setting ``directory_ttl_s`` must pass without a request before no
# caller is expected to connect any more.
LEAVE_IDLE_TTLS = 1.0
# How long no request must have arrived before a leaving instance stops, as requests may
# be in transit on open connections.
LEAVE_FINAL_IDLE_S = 0.2
# How long requests that come at the very end of a shutdown are still refused. Callers
# have had the time to leave, and the platform's last signal comes soon.
CLOSE_TIMEOUT_S = 0.2
CLOSE_POLL_INTERVAL_S = 0.005


@SERVICES.register("ingress")
class Ingress(Service):
    """Reads callers' requests and passes each to the gateway in a task of its own.

    :ivar is_leaving: whether a graceful shutdown is in progress.
    :ivar waiting: the connections that wait for a request.
    """

    name = "ingress"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.is_leaving = False
        self._address = app.settings.get(InstanceSettings).caller_address
        self._tasks = Tasks(app.metrics, "ingress")
        # Not cancelled at a stop, so that each caller gets its refusal.
        self._refusals = Tasks(app.metrics, "ingress")
        self._last_request_at = 0.0
        self._refuses_requests = False
        self._server: ClientServer | None = None
        self._wait_limits = WaitLimits(
            app.settings.get(CatalogSettings).superseded_bound_s,
            IDLE_MARGIN_S,
            CallerLimits(idle_timeout_s=IDLE_TIMEOUT_S),
        )
        self.waiting = WaitingConnections(app.metrics, self._wait_limits)
        app.events.connect(CATALOG_CHANGED, self._apply_limits)

    @property
    def _resources(self) -> Resources:
        return self.app.get("resources")

    @property
    def in_progress(self) -> int:
        """How many requests are in progress."""
        return len(self._tasks)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Listens for callers while the instance runs."""
        server = ClientServer(
            RequestReaderFactory(self),
            listener="caller",
            max_connections=self._resources.settings.caller_connections,
            answer_idle_s=self._resources.settings.answer_idle_s,
            account=self._resources.account,
            metrics=self.app.metrics,
            max_header_size=MAX_HEADER_BYTES,
        )
        # Tornado's own timer has neither a hook nor a limit that may change.
        server.conn_params.header_timeout = None
        host, port = split_address(self._address)
        server.listen(port, host)
        self._server = server
        self._apply_limits()
        closing = Tasks(self.app.metrics, "ingress")
        closing.keep("close_waiting", self.waiting.close_periodically)
        closing.keep("close_unread", server.sweep_periodically)
        try:
            yield
        finally:
            await closing.cancel()
            await self._stop(server)

    async def _stop(self, server: ClientServer) -> None:
        """Answers the requests in progress, then closes all connections.

        One on which a request arrives meanwhile is closed after its refusal.
        """
        self.is_leaving = self._refuses_requests = True
        server.stop()
        await self._tasks.cancel()
        deadline = now() + CLOSE_TIMEOUT_S
        self.waiting.close_unused()
        while server.has_connections() and now() < deadline:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
            self.waiting.close_unused()
        await server.close_all_connections()

    def _apply_limits(self, *_: Any) -> None:
        """Applies the configured idle and header timeouts from now on."""
        catalog = self.app.get("catalog").catalog
        if catalog is not None:
            self._wait_limits.apply(catalog.limits, now())

    async def leave(self) -> None:
        """Announces that this instance is leaving, then drains its requests.

        Callers keep using open connections and old look-ups for a while. Requests that
        arrive too late to be finished are refused, so that callers retry at another
        instance at once.
        """
        settings = self.app.settings.get(ListenSettings)
        self.is_leaving = True
        self.app.get("gateway").leaving = True
        self.app.get("membership").set_leaving()
        started = now()
        idle_limit_s = LEAVE_IDLE_TTLS * settings.directory_ttl_s
        await self._wait_until_idle(started + settings.leave_accept_s, idle_limit_s)
        self._refuses_requests = True
        if self._server is not None:
            self._server.stop()
        await self._wait_until_idle(
            started + settings.leave_timeout_s, LEAVE_FINAL_IDLE_S
        )

    def _is_writing(self) -> bool:
        """Returns whether a caller has not received all bytes of a response yet."""
        return self._server is not None and self._server.is_writing()

    async def _wait_until_idle(self, deadline: float, idle_limit_s: float) -> None:
        """Waits until no request is in progress and none arrived for ``idle_limit_s``.

        A request is in progress until its response has been passed to the system. An
        exchange that is carried for another instance counts as one.

        :param deadline: when to stop waiting, loop time in seconds.
        :param idle_limit_s: how long no request must have arrived.
        """
        started = now()
        while now() < deadline:
            idle_s = now() - max(started, self._last_request_at)
            is_done = not self._tasks and not self._is_writing()
            is_done = is_done and not self.app.get("proxy").in_progress
            if is_done and idle_s > idle_limit_s:
                return
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)

    def check_head(
        self, request: CallerRequest, length: int | None
    ) -> Result[BodyTerms, Error]:
        """Returns the terms of a body, or why the request is refused without it.

        :param length: the size that the head states, None if it states none.
        """
        if self._refuses_requests:
            return Failure(leaving_error())
        gateway: Gateway = self.app.get("gateway")
        return gateway.check_head(request, length, MAX_BODY_BYTES)

    def make_body_reader(self, stream: ClientStream, terms: BodyTerms) -> BodyReader:
        """Returns a reader of one body, which its user closes."""
        idle_s = self._resources.settings.body_idle_s
        return BodyReader(stream, self._resources.account, terms, idle_s)

    async def refuse_at_head(
        self, request: CallerRequest, reply: CallerReply, error: Error
    ) -> None:
        """Refuses a request whose body was not read whole."""
        self._last_request_at = now()
        await self.app.get("gateway").refuse(request, reply, error)

    def serve(
        self,
        request: CallerRequest,
        reply: CallerReply,
        on_end: Callable[[], None],
    ) -> None:
        """Starts a task that handles one request.

        The task is cancelled if the caller disconnects or the instance stops. Once a
        leaving instance accepts no more requests, the request is refused instead.

        :param on_end: called once the request has ended.
        """
        self._last_request_at = now()
        if self._refuses_requests:
            on_end()
            self.refuse(reply, leaving_error())
            return
        task = self._tasks.start(self._handle(request, reply), "request")
        task.add_done_callback(lambda _: on_end())
        reply.on_disconnect(task.cancel)

    def refuse(self, reply: CallerReply, error: Error) -> None:
        """Answers a request that is not handled, without waiting for that."""
        self._refusals.start(reply.fail(error), "refusal")

    async def _handle(self, request: CallerRequest, reply: CallerReply) -> None:
        try:
            await self.app.get("gateway").handle(request, reply)
        except asyncio.CancelledError:
            if not reply.caller_disconnected.is_set():
                await reply.fail(leaving_error())
                return
            log(CALLER_DISCONNECTED, request=request.id)
            reply.abort()
        except StreamClosedError:
            log(CALLER_DISCONNECTED, request=request.id)
        except Exception as error:
            logger.exception("request {} failed", request.id)
            await reply.fail(Error(ErrorKind.INTERNAL, repr(error)))
