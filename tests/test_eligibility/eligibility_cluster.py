"""Endpoints of two failure domains, and the rules that keep requests from one."""

from __future__ import annotations

import asyncio
from typing import Callable

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import Evacuation
from cicadacourse.exchange import ResponseHead
from cicadacourse.feed import EvacuationFeed
from tests.gateway_cluster import GatewayCluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_gateway.test_gateway_histories import CATALOG

BARRED_DOMAIN = "a"
OTHER_DOMAIN = "b"
REGION_BY_DOMAIN = {BARRED_DOMAIN: "west", OTHER_DOMAIN: "east", "c": "east"}
# Until then, all instances that are connected know of a change.
TOLD_S = 1.0
# Longer than a scenario takes.
RETRY_AFTER_S = 60.0


def make_two_domains(count: int, pool: str = "engines") -> dict[str, SimulatedEndpoint]:
    """Returns endpoints by id, every second one in the domain that is barred."""
    endpoint_by_id = make_endpoints(count, pool)
    for number, endpoint in enumerate(endpoint_by_id.values()):
        endpoint.endpoint = attrs.evolve(
            endpoint.endpoint,
            failure_domain=OTHER_DOMAIN if number % 2 else BARRED_DOMAIN,
            started_ms=1000,
        )
    return endpoint_by_id


def in_domain(cluster: GatewayCluster, domain: str) -> list[SimulatedEndpoint]:
    """Returns the endpoints of a failure domain."""
    endpoints = cluster.endpoint_by_id.values()
    return [item for item in endpoints if item.endpoint.failure_domain == domain]


def follow_evacuations(cluster: GatewayCluster) -> dict[str, EvacuationFeed]:
    """Lets the instances that run now follow evacuations, by name."""
    apps = cluster.memory.application_by_name
    return {name: EvacuationFeed(app) for name, app in apps.items()}


def evacuate(cluster: GatewayCluster) -> None:
    """One instance reads that the domain is evacuated."""
    feeds = follow_evacuations(cluster)
    feeds["n0"].apply_read(Evacuation(BARRED_DOMAIN, True, 10))


def _state(cluster: GatewayCluster, head: ResponseHead) -> None:
    """All instances get a response of each endpoint of the domain."""
    for app in cluster.memory.applications:
        for endpoint in in_domain(cluster, BARRED_DOMAIN):
            app.get("eligibility").declines.observe(endpoint.endpoint, head)


def let_leave(cluster: GatewayCluster) -> None:
    """The endpoints of the domain state that they leave."""
    _state(cluster, ResponseHead(200, (), is_leaving=True))


def let_decline(cluster: GatewayCluster) -> None:
    """The endpoints of the domain want no requests for a time."""
    _state(cluster, ResponseHead(503, (), retry_after_s=RETRY_AFTER_S))


def restrict_routes(cluster: GatewayCluster) -> None:
    """A configuration allows only the other domain's region."""
    allowed = frozenset({REGION_BY_DOMAIN[OTHER_DOMAIN]})
    routes = tuple(
        attrs.evolve(item, allowed_regions=allowed) for item in CATALOG.routes
    )
    for app in cluster.memory.applications:
        _put_in_force(app, routes)


def _put_in_force(app: Application, routes: tuple[object, ...]) -> None:
    catalog = attrs.evolve(CATALOG, version=2, routes=routes)
    app.get("catalog").apply_if_newer(catalog, "test")


Rule = Callable[[GatewayCluster], None]
# What puts each registered rule in force; a rule without an entry fails a test.
RULE_BY_NAME: dict[str, tuple[Rule, ...]] = {
    "evacuated": (evacuate,),
    "declines": (let_leave, let_decline),
    "region": (restrict_routes,),
}


def uses_since(
    endpoints: list[SimulatedEndpoint], all_: list[SimulatedEndpoint], since: float
) -> int:  # noqa: E501
    """Returns how often endpoints got a request, or helped with one, from then on."""
    addresses = {item.endpoint.address for item in endpoints}
    helped = sum(
        helper.address in addresses
        for endpoint in all_
        for arrival in endpoint.arrivals
        if arrival.at >= since
        for helper in arrival.request.helpers
    )
    return helped + sum(len(item.arrivals_since(since)) for item in endpoints)


async def bar(cluster: GatewayCluster, rule: Rule) -> None:
    """Puts a rule in force, and waits until all instances know of it."""
    rule(cluster)
    await asyncio.sleep(TOLD_S)
