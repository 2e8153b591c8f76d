"""The client of endpoints, which chooses how an endpoint is connected to."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator

import attrs

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.exchange import (
    EndpointClient,
    EndpointConnector,
    EndpointRequest,
    EndpointResponse,
)
from cicadacourse.proxy._checks import check_ready
from cicadacourse.util.clock import now


@SERVICES.register("endpoint_caller")
class ProxyingClient(Service, EndpointClient):
    """Sends requests to endpoints over direct connections."""

    name = "endpoint_caller"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._connector: EndpointConnector = app.get("endpoint_connector")

    @contextlib.asynccontextmanager
    async def exchange(
        self, request: EndpointRequest, is_idempotent: bool, head_timeout_s: float
    ) -> AsyncIterator[EndpointResponse]:
        """Sends a request, yields its response; see :meth:`EndpointClient.exchange`."""
        started = now()
        async with self._connector.connect(
            request.endpoint, is_idempotent, request.needs_new_connection
        ) as connection:
            time_left_s = request.time_left_s - (now() - started)
            request = attrs.evolve(request, time_left_s=time_left_s)
            check_ready(self.app, request.endpoint)
            yield await connection.send(request, head_timeout_s)

    async def is_process_gone(self, endpoint: Endpoint) -> bool:
        """See :meth:`EndpointClient.is_process_gone`."""
        current = self.app.get("catalog").registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
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

    def close_idle_connections(self, endpoint_id: str) -> None:
        """See :meth:`EndpointClient.close_idle_connections`."""
        self._connector.close_idle_connections(endpoint_id)
