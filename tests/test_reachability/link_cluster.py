"""Instances on a simulated clock whose links to endpoints are cut, without gateways."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator, Callable, Iterable

import attrs

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.exchange import EndpointConnection, SendFailure
from cicadacourse.reachability import Reachability
from cicadacourse.util.clock import now
from standins.memory_cluster import memory_cluster
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import GatewayCluster
from tests.simulated_connector import SimulatedConnector
from tests.simulated_endpoints import make_endpoints


class CountingConnector(SimulatedConnector):
    """Connects an instance to endpoints and records its tries."""

    @contextlib.asynccontextmanager
    async def connect(
        self, endpoint: Endpoint, is_idempotent: bool, needs_new_connection: bool
    ) -> AsyncIterator[EndpointConnection]:
        """Simulates a connection to an endpoint."""
        self._cluster.tries.append((now(), self._own_name, endpoint.id))
        async with super().connect(
            endpoint, is_idempotent, needs_new_connection
        ) as connection:
            yield connection


@attrs.define(eq=False)
class LinkCluster(GatewayCluster):
    """Instances with the services that know of links to endpoints.

    :ivar fault: what a cut does to connections.
    :ivar tries: when which instance tried to connect to which endpoint.
    """

    fault: LinkFault = LinkFault.HANG
    tries: list[tuple[float, str, str]] = attrs.field(factory=list)
    _ends_by_instance: dict[str, list[Callable[[], None]]] = attrs.field(factory=dict)

    def services(self) -> list[Callable[[Application], Service] | str]:
        """Returns the services of each instance, in their order."""
        return [
            "catalog",
            "membership",
            self._make_load,
            "evidence",
            "reachability",
            self._make_connector,
        ]

    def _make_connector(self, app: Application) -> Service:
        self._fill(app)
        return CountingConnector(app, self, app.get("load")._instance.name)

    def is_cut(self, instance: str, endpoint: Endpoint) -> bool:
        """Returns whether the link from an instance to an endpoint is cut."""
        link = self.links.get(instance, endpoint)
        return link.is_hanging or link.is_refusing

    def cut_off(self, *instances: str, ids: Iterable[str] | None = None) -> None:
        """Cuts the links from instances to all endpoints, or to some."""
        endpoints = [self.endpoint_by_id[id] for id in ids or self.endpoint_by_id]
        for instance in instances:
            end = self.cut([instance], self.fault, endpoints)
            self._ends_by_instance.setdefault(instance, []).append(end)

    def restore(self, *instances: str) -> None:
        """Ends the cuts of instances."""
        for instance in instances:
            for end in self._ends_by_instance.pop(instance, ()):
                end()

    def links_of(self, instance: str) -> Reachability:
        """Returns the service under test of an instance."""
        return self.memory.get(instance, "reachability")

    def endpoint(self, number: int) -> Endpoint:
        """Returns the record of an endpoint."""
        return list(self.endpoint_by_id.values())[number].endpoint

    async def try_connection(self, instance: str, endpoint: Endpoint) -> bool:
        """Connects directly, else asks peers, as a request does."""
        links = self.links_of(instance)
        connector = self.memory.get(instance, "endpoint_connector")
        try:
            async with connector.connect(endpoint, True, True):
                links.record_connected(endpoint)
                return True
        except SendFailure:
            links.record_not_connected(endpoint)
        for peer in links.peers_for(endpoint)[:3]:
            if self.is_cut(peer.name, endpoint) or self.is_down(endpoint):
                links.record_not_reached_by_peer(endpoint, peer.name)
            else:
                links.record_reached_by_peer(endpoint, peer.name)
                break
        return False

    def is_down(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint's process has ended."""
        return self.endpoint_by_id[endpoint.id].is_down


@contextlib.asynccontextmanager
async def link_cluster(
    instances: int, endpoints: int, **settings: Any
) -> AsyncIterator[LinkCluster]:
    """Runs instances that know each other; ``settings`` are those of the cluster."""
    cluster = LinkCluster(make_endpoints(endpoints), **settings)
    names = [f"n{number}" for number in range(instances)]
    async with memory_cluster(names, cluster.services()) as memory:
        cluster.memory = memory
        async with asyncio.timeout(30):
            while not all(
                len(item.members()) == instances
                for item in memory.services("membership")
            ):
                await asyncio.sleep(0.1)
        yield cluster
