"""Direct HTTP connections to endpoints in the platform's protocol."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from typing import AsyncIterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import (
    EndpointConnection,
    EndpointConnector,
    SendFailure,
)
from cicadacourse.metrics import declare
from cicadacourse.platform._endpoint_exchange import DirectConnection
from cicadacourse.resources import HeldKind, MemoryAccount
from cicadacourse.util.clock import now
from cicadacourse.util.connection import HttpConnection, HttpConnectionError

CONNECTIONS_OPENED = declare("channels_opened_total", "Connections made to endpoints.")

# Time limits of the attempts to connect. TCP retransmits a lost SYN packet only after
# one second, so a new attempt is faster.
CONNECT_TIMEOUTS_S = (0.08, 0.3)
# How long an endpoint that broke off a response may take to accept a connection.
GONE_TIMEOUT_S = 0.1
# The longest idle time of a connection that may carry a request that is not idempotent.
# The endpoint may be closing one that idled for longer, and it would remain unknown
# whether the request ran.
MAX_IDLE_NON_IDEMPOTENT_S = 1.5
# Open connections fall silent together if so many endpoints are silent within a window;
# a single one may be slow or hang.
MIN_SILENT_ENDPOINTS = 2
SILENCE_WINDOW_S = 2.0
# An endpoint counts as silent after a longer time, so that a connection whose last
# exchange ended later has not fallen silent with it.
MIN_SILENCE_S = 0.25


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
        self._silent_at_by_id: dict[str, float] = {}
        self._suspect_before = float("-inf")
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Closes every idle connection when the instance stops."""
        try:
            yield
        finally:
            for endpoint_id in list(self._idle_by_endpoint):
                self._close_idle(endpoint_id)

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
        with self._account.holding(HeldKind.EXCHANGE) as holding:
            connection.on_buffered = holding.resize
            try:
                yield DirectConnection(connection, is_kept)
            finally:
                self._release(endpoint, connection)
                connection.on_buffered = None

    @property
    def _account(self) -> MemoryAccount:
        return self.app.get("resources").account

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

        One that was used last before the link failed, or before several connections
        were found silent, may be silent for good.
        """
        failed_at = self.app.get("reachability").failed_at(endpoint)
        is_recent = now() - connection.idle_since < MAX_IDLE_NON_IDEMPOTENT_S
        return (
            connection.address == endpoint.address
            and connection.is_reusable
            and connection.idle_since > max(failed_at, self._suspect_before)
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
        self._close_idle(endpoint_id)

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
            self._close_idle(endpoint.id)

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Gives up the idle connections to an endpoint that was silent.

        Once several endpoints were, the connections have fallen silent rather than the
        endpoints. Those to all endpoints that were not used since are then given up.
        """
        self._close_idle(endpoint_id)
        now_s = now()
        self._silent_at_by_id[endpoint_id] = now_s
        self._silent_at_by_id = {
            id: at
            for id, at in self._silent_at_by_id.items()
            if now_s - at <= SILENCE_WINDOW_S
        }
        if len(self._silent_at_by_id) >= MIN_SILENT_ENDPOINTS:
            self._suspect_before = now_s - MIN_SILENCE_S

    def _close_idle(self, endpoint_id: str) -> None:
        for connection in self._idle_by_endpoint.pop(endpoint_id, ()):
            connection.close()
