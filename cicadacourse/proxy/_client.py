"""The client of endpoints, which chooses how an endpoint is connected to."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator

import attrs

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.eligibility import AllowedRegions, Eligibility
from cicadacourse.exchange import (
    EndpointClient,
    EndpointConnector,
    EndpointRequest,
    EndpointResponse,
    SendFailure,
)
from cicadacourse.proxy._race import ConnectionRace
from cicadacourse.proxy._ways import (
    REASON_UNREACHABLE,
    ConnectAttempt,
    Ways,
)
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now


@SERVICES.register("endpoint_caller")
class ProxyingClient(Service, EndpointClient):
    """Sends requests to endpoints, directly or through another instance."""

    name = "endpoint_caller"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._connector: EndpointConnector = app.get("endpoint_connector")
        self._tasks = Tasks(app.metrics, "proxy")
        self._ways = Ways(app, self._tasks)
        self._race = ConnectionRace(app, self._ways, self._tasks)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ends the tasks of exchanges when the instance stops."""
        try:
            yield
        finally:
            await self._tasks.cancel()

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        request: EndpointRequest,
        is_idempotent: bool,
        head_timeout_s: float,
        regions: AllowedRegions = None,
    ) -> AsyncIterator[EndpointResponse]:
        """Sends a request, yields its response; see :meth:`EndpointClient.exchange`."""
        started = now()
        attempt = ConnectAttempt(request, is_idempotent, started, regions)
        opened = await self._race.run(attempt)
        if opened is None:
            detail = "neither this instance nor any that it asked could connect"
            raise SendFailure(detail, False, REASON_UNREACHABLE)
        async with opened.contexts:
            time_left_s = request.time_left_s - (now() - started)
            request = attrs.evolve(request, time_left_s=time_left_s)
            eligibility: Eligibility = self.app.get("eligibility")
            eligibility.check(request.endpoint, regions)
            yield await opened.connection.send(request, head_timeout_s)

    async def is_process_gone(self, endpoint: Endpoint) -> bool:
        """See :meth:`EndpointClient.is_process_gone`."""
        current = self.app.get("catalog").registry.find(endpoint.id)
        if current is None or not current.may_be(endpoint.process):
            return True
        if not await self._connector.is_refused(endpoint):
            return False
        reachability = self.app.find("reachability")
        if reachability is None:
            return True
        return await reachability.is_refused_elsewhere(endpoint)

    def abort_exchanges(self, endpoint_id: str) -> None:
        """See :meth:`EndpointClient.abort_exchanges`."""
        self._connector.abort_exchanges(endpoint_id)
        for connection in list(self._ways.proxied):
            if connection.endpoint.id == endpoint_id:
                connection.abort()

    def close_idle_connections(self, endpoint_id: str) -> None:
        """See :meth:`EndpointClient.close_idle_connections`.

        A peer whose connection is in use now also closes those that it keeps.
        """
        self._connector.close_idle_connections(endpoint_id)
        for connection in self._ways.proxied:
            if connection.endpoint.id == endpoint_id:
                connection.closes_kept = True
