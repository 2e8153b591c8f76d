"""Direct HTTP connections to endpoints in the platform's protocol."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from typing import AsyncIterator

import h11

from cicadacourse.application import SERVICES, Application, Service
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
from cicadacourse.metrics import declare
from cicadacourse.platform import _names as names
from cicadacourse.platform._response_head import decode_headers, read_head
from cicadacourse.util.clock import MS_PER_S, now
from cicadacourse.util.connection import HttpConnection, HttpConnectionError

CONNECTIONS_OPENED = declare("channels_opened_total", "Connections made to endpoints.")

# Time limits of the attempts to connect. TCP retransmits a lost SYN packet only after
# one second, so a new attempt is faster.
CONNECT_TIMEOUTS_S = (0.08, 0.3)
# How long an endpoint that broke off a response may take to accept a connection.
GONE_TIMEOUT_S = 0.1
# Keep-alive time of an endpoint whose response has no Keep-Alive header.
DEFAULT_KEEP_ALIVE_S = 4.0
# Subtracted from the announced keep-alive time, so that no request is sent while the
# endpoint closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5
# The longest idle time of a connection that may carry a request that is not idempotent.
# The endpoint may be closing one that idled for longer, and it would remain unknown
# whether the request ran.
MAX_IDLE_NON_IDEMPOTENT_S = 1.5


@SERVICES.register("endpoint_connector")
class PlatformEndpointConnector(Service, EndpointConnector):
    """Pools connections to endpoints; each carries one exchange at a time.

    A new connection to an endpoint is opened only once no idle one is left, so there
    are never more than requests at once. The endpoint counts those of all instances
    together, so it may still reset some beyond its limit.
    """

    name = "endpoint_connector"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._idle_by_endpoint: dict[str, list[HttpConnection]] = defaultdict(list)
        self._busy_by_endpoint: dict[str, set[HttpConnection]] = defaultdict(set)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Closes every idle connection when the instance stops."""
        try:
            yield
        finally:
            for endpoint_id in list(self._idle_by_endpoint):
                self.close_idle_connections(endpoint_id)

    @contextlib.asynccontextmanager
    async def connect(
        self, endpoint: Endpoint, is_idempotent: bool, needs_new_connection: bool
    ) -> AsyncIterator[EndpointConnection]:
        """Yields a connection; see :meth:`EndpointConnector.connect`."""
        connection = None
        if not needs_new_connection:
            connection = self._take_idle(endpoint, is_idempotent)
        is_kept = connection is not None
        if connection is None:
            connection = await self._open(endpoint)
        self._busy_by_endpoint[endpoint.id].add(connection)
        try:
            yield _DirectConnection(connection, is_kept)
        finally:
            self._release(endpoint, connection)

    async def _open(self, endpoint: Endpoint) -> HttpConnection:
        # Sockets of connections that were closed before are closed in the next turn of
        # the loop, so they don't count beside the new one.
        await asyncio.sleep(0)
        detail = ""
        for timeout_s in CONNECT_TIMEOUTS_S:
            self.app.metrics.count(CONNECTIONS_OPENED, pool=endpoint.pool)
            try:
                return await HttpConnection.connect(endpoint.address, timeout_s)
            except HttpConnectionError as error:
                detail = str(error)
        raise SendFailure(detail, False, "unreachable")

    def _take_idle(
        self, endpoint: Endpoint, is_idempotent: bool
    ) -> HttpConnection | None:
        """Returns the most recently used idle connection that may carry the request.

        Connections that were used more recently and may not carry it are closed.
        """
        connections = self._idle_by_endpoint[endpoint.id]
        while connections:
            connection = connections.pop()
            if self._is_usable(connection, endpoint, is_idempotent):
                return connection
            connection.close()
        return None

    def _is_usable(
        self, connection: HttpConnection, endpoint: Endpoint, is_idempotent: bool
    ) -> bool:
        """Returns whether an idle connection may carry a request.

        One that was used last before the link failed may be silent for good.
        """
        failed_at = self.app.get("reachability").failed_at(endpoint)
        is_recent = now() - connection.idle_since < MAX_IDLE_NON_IDEMPOTENT_S
        return (
            connection.address == endpoint.address
            and connection.is_reusable
            and connection.idle_since > failed_at
            and (is_idempotent or is_recent)
        )

    def has_kept_connection(self, endpoint: Endpoint, is_idempotent: bool) -> bool:
        """See :meth:`EndpointConnector.has_kept_connection`."""
        return any(
            self._is_usable(item, endpoint, is_idempotent)
            for item in self._idle_by_endpoint.get(endpoint.id, ())
        )

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """See :meth:`EndpointConnector.is_refused`."""
        try:
            connection = await HttpConnection.connect(endpoint.address, GONE_TIMEOUT_S)
        except HttpConnectionError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    def abort_exchanges(self, endpoint_id: str) -> None:
        """Closes every connection to an endpoint, including those in use."""
        for connection in self._busy_by_endpoint.get(endpoint_id, ()):
            connection.fail("the endpoint is dead")
        self.close_idle_connections(endpoint_id)

    def _release(self, endpoint: Endpoint, connection: HttpConnection) -> None:
        busy = self._busy_by_endpoint[endpoint.id]
        busy.discard(connection)
        if not busy:
            del self._busy_by_endpoint[endpoint.id]
        if connection.is_reusable:
            self._idle_by_endpoint[endpoint.id].append(connection)
        else:
            connection.close()

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        current = self.app.get("catalog").registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self.close_idle_connections(endpoint.id)

    def close_idle_connections(self, endpoint_id: str) -> None:
        """See :meth:`EndpointConnector.close_idle_connections`."""
        for connection in self._idle_by_endpoint.pop(endpoint_id, ()):
            connection.close()


class _DirectConnection(EndpointConnection):
    """A connection from this instance to an endpoint."""

    def __init__(self, connection: HttpConnection, is_kept: bool) -> None:
        self.is_kept = is_kept
        self._connection = connection

    async def send(
        self, request: EndpointRequest, head_timeout_s: float
    ) -> EndpointResponse:
        """Sends a request; see :meth:`EndpointConnection.send`."""
        caller = request.caller
        headers = _request_headers(request)
        try:
            self._connection.send(caller.method, caller.target, headers, caller.body)
        except HttpConnectionError as error:
            raise SendFailure(str(error), False, "connection_ended") from error
        except h11.LocalProtocolError as error:
            raise SendFailure(str(error), False, "malformed_request") from error
        response = await self._receive_head(head_timeout_s)
        if not isinstance(response, h11.Response):
            raise SendFailure("no response head was received", True, "malformed_answer")
        head = read_head(response)
        _check_origin(head, response, caller.id)
        return _Response(head, self._connection, _keep_alive_s(response))

    async def _receive_head(self, timeout_s: float) -> object:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.receive()
        except TimeoutError:
            detail = f"no response head within {timeout_s:.2f} s"
            raise SendFailure(detail, True, "no_answer") from None
        except HttpConnectionError as error:
            raise SendFailure(
                str(error), True, "connection_broken", is_broken_off=True
            ) from error


class _Response(EndpointResponse):
    """A response that is read from a connection."""

    def __init__(
        self, head: ResponseHead, connection: HttpConnection, keep_alive_s: float
    ) -> None:
        self.head = head
        self._connection = connection
        self._keep_alive_s = keep_alive_s
        self._is_complete = False

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or none at its end.

        :raises SendFailure: if the connection breaks before the end of the body.
        """
        while not self._is_complete:
            try:
                part = await self._connection.receive()
            except HttpConnectionError as error:
                raise SendFailure(
                    str(error), True, "cut_short", is_broken_off=True
                ) from error
            if isinstance(part, h11.EndOfMessage):
                self._is_complete = True
                self._connection.end_exchange(self._keep_alive_s)
            elif isinstance(part, h11.Data) and part.data:
                return bytes(part.data)
        return b""


def _request_headers(request: EndpointRequest) -> list[tuple[str, str]]:
    """Returns the headers of one attempt: the caller's, then those of this instance."""
    caller = request.caller
    time_left_ms = max(1, int(request.time_left_s * MS_PER_S))
    headers = [("Host", caller.host)]
    headers += [(item.name, item.value) for item in caller.headers]
    headers.append((names.HEADER_TIME_LEFT_MS, str(time_left_ms)))
    headers.append((names.HEADER_EXPECTED_ENDPOINT, request.endpoint.id))
    if request.organisation is not None:
        headers.append((names.HEADER_ORGANISATION, request.organisation))
    if request.last_event_id is not None:
        headers.append((names.HEADER_LAST_EVENT_ID, request.last_event_id))
    if request.helpers:
        helper_list = ",".join(
            (
                f"{item.address}/{item.reservation_id}"
                if item.reservation_id
                else item.address
            )
            for item in request.helpers
        )
        headers.append((names.HEADER_HELPERS, helper_list))
    if caller.body or caller.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(caller.body))))
    return headers


def _check_origin(head: ResponseHead, response: h11.Response, request_id: str) -> None:
    """Checks that a response is the endpoint's, and the one to a request.

    A faulty endpoint may send further bytes after a response, which look like the
    response to the next request. Endpoints name the request in each response, and seal
    successes.

    :raises SendFailure: if it names no request or another one, or is an unsealed
        success. The request was sent and may have run.
    """
    # A caller may give its request no id, or an empty one.
    ids = set(_values(response, names.HEADER_REQUEST_ID)) - {""}
    if ids != {request_id} - {""}:
        detail = "the response bears the id of another request, or none"
        raise SendFailure(detail, True, "foreign_answer")
    if head.is_success and not any(_values(response, names.HEADER_SIGNATURE)):
        raise SendFailure("the success bears no seal", True, "unsealed_answer")


def _values(response: h11.Response, name: str) -> list[str]:
    """Returns the values of all headers of a name."""
    return [
        header.value
        for header in decode_headers(response)
        if header.name.lower() == name.lower()
    ]


def _keep_alive_s(response: h11.Response) -> float:
    """Returns how long the connection may be idle before its next use, in seconds."""
    for header in decode_headers(response):
        if header.name.lower() != "keep-alive":
            continue
        for part in header.value.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
