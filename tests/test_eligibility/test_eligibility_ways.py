"""Every way to an endpoint keeps to every rule of eligibility.

Each rule was once kept on some ways only: a retry, a hedge, a helper of a split prompt
or a request that another instance carries reached an endpoint that the first attempt
had avoided. The table here holds all ways times all rules.
"""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable

import pytest

from cicadacourse.eligibility import RULES
from cicadacourse.errors import ErrorKind
from cicadacourse.util.clock import now
from tests.gateway_cluster import GatewayCluster
from tests.gateway_cluster import GatewayCluster as Cluster
from tests.gateway_cluster import gateway_cluster
from tests.test_eligibility.eligibility_cluster import (
    BARRED_DOMAIN,
    OTHER_DOMAIN,
    REGION_BY_DOMAIN,
    RULE_BY_NAME,
    Rule,
    bar,
    in_domain,
    make_two_domains,
    uses_since,
)
from tests.test_placement.test_placement_retry_after import run, share_served

RATE = 30.0
LOAD_S = 2.0
LONG_PROMPT_TOKENS = 150_000


async def first_attempts(cluster: Cluster) -> None:
    """Streams and calls, on kept and on new connections."""
    await cluster.load(RATE, LOAD_S, seed=2)


async def retries(cluster: Cluster) -> None:
    """Responses with errors, after which another endpoint is tried."""
    for endpoint in in_domain(cluster, OTHER_DOMAIN):
        endpoint.status = 500
    await cluster.load(RATE, LOAD_S, seed=2)


async def retries_after_refusals(cluster: Cluster) -> None:
    """Half of the requests are refused."""
    for endpoint in in_domain(cluster, OTHER_DOMAIN):
        endpoint.is_replaced = True
    await cluster.load(RATE, LOAD_S, seed=2)


async def hedges(cluster: Cluster) -> None:
    """Exchanges with endpoints that are silent for a time."""
    load = asyncio.create_task(cluster.load(RATE, LOAD_S, seed=2))
    await asyncio.sleep(0.3)
    for endpoint in in_domain(cluster, OTHER_DOMAIN)[:-1]:
        endpoint.fall_silent(1.5)
    await load


async def resumed_streams(cluster: Cluster) -> None:
    """An endpoint crashes under streams that have begun."""
    for endpoint in in_domain(cluster, OTHER_DOMAIN):
        endpoint.event_s = 0.2
    load = asyncio.create_task(cluster.load(RATE, LOAD_S, seed=2))
    await asyncio.sleep(1.0)
    others = in_domain(cluster, OTHER_DOMAIN)
    cluster.crash(max(others, key=lambda item: len(item.arrivals)))
    await load


async def helpers(cluster: Cluster) -> None:
    """Long prompts whose prefill is split over several engines."""
    await cluster.load(3.0, LOAD_S, seed=2, tokens=LONG_PROMPT_TOKENS)


async def queued_requests(cluster: Cluster) -> None:
    """More requests than the endpoints have slots."""
    for endpoint in in_domain(cluster, OTHER_DOMAIN):
        endpoint.event_s = 0.5
    await cluster.load(2 * RATE, LOAD_S, seed=2)


async def peers(cluster: Cluster) -> None:
    """An instance without links has its exchanges carried by others."""
    cluster.cut(["n0"], seconds=LOAD_S)
    await cluster.load(RATE, LOAD_S, seed=2)


WAYS: list[Callable[[Cluster], Awaitable[None]]] = [
    first_attempts,
    retries,
    retries_after_refusals,
    hedges,
    resumed_streams,
    helpers,
    queued_requests,
    peers,
]
BARRING = [rule for rules in RULE_BY_NAME.values() for rule in rules]


def test_each_registered_rule_is_in_the_table() -> None:
    assert set(RULES) == set(RULE_BY_NAME)


async def _kept(way: Callable[[GatewayCluster], Awaitable[None]], rule: Rule) -> None:
    endpoint_by_id = make_two_domains(8)
    async with gateway_cluster(
        3, endpoint_by_id, region_by_domain=REGION_BY_DOMAIN
    ) as cluster:
        await cluster.load(RATE, 1.0)
        barred = in_domain(cluster, BARRED_DOMAIN)
        assert any(item.arrivals for item in barred)
        await bar(cluster, rule)
        since, before = now(), len(cluster.replies)
        await way(cluster)
        assert uses_since(barred, cluster.all_endpoints(), since) == 0
        others = in_domain(cluster, OTHER_DOMAIN)
        assert uses_since(others, cluster.all_endpoints(), since) > 0
        if way in (first_attempts, peers, helpers, resumed_streams):
            assert share_served(cluster.replies[before:]) >= 0.98


@pytest.mark.parametrize("rule", BARRING, ids=lambda item: item.__name__)
@pytest.mark.parametrize("way", WAYS, ids=lambda item: item.__name__)
def test_no_way_leads_to_a_barred_endpoint(
    way: Callable[[GatewayCluster], Awaitable[None]], rule: Rule
) -> None:
    run(_kept, way, rule)


async def _barred_while_queued(rule: Rule) -> None:
    endpoint_by_id = make_two_domains(2)
    for endpoint in endpoint_by_id.values():
        endpoint.event_s = 0.4
    async with gateway_cluster(
        1, endpoint_by_id, region_by_domain=REGION_BY_DOMAIN
    ) as cluster:
        load = asyncio.create_task(cluster.load(2 * RATE, LOAD_S))
        await asyncio.sleep(1.0)
        assert len(cluster.memory.get("n0", "placement")._queue)
        rule(cluster)
        since = now() + 0.1
        await load
        barred = in_domain(cluster, BARRED_DOMAIN)
        assert not any(item.arrivals_since(since) for item in barred)


@pytest.mark.parametrize("rule", RULE_BY_NAME["evacuated"] + RULE_BY_NAME["declines"])
def test_requests_that_wait_are_not_placed_on_a_barred_endpoint(rule: Rule) -> None:
    """A request in the queue may hold a choice of before the change."""
    run(_barred_while_queued, rule)


async def _refused(rule: Rule, reason: str, path: str) -> None:
    pool = "engines" if path == "ask" else "plain"
    endpoint_by_id = make_two_domains(4, pool)
    async with gateway_cluster(
        2, endpoint_by_id, region_by_domain=REGION_BY_DOMAIN
    ) as cluster:
        for app in cluster.memory.applications:
            registry = app.get("catalog").registry
            for endpoint in in_domain(cluster, OTHER_DOMAIN):
                registry.remove(endpoint.endpoint.id)
        await bar(cluster, rule)
        since = now()
        replies = await cluster.load(RATE, 1.0, seed=2, path=path)
        assert uses_since(in_domain(cluster, BARRED_DOMAIN), [], since) == 0
        assert {item.status for item in replies} == {503}
        assert {item.error.kind for item in replies} == {ErrorKind.NO_ENDPOINT}
        assert {item.error.label for item in replies} == {reason}
        assert all(item.error.retry_after_s for item in replies)
        assert all(item.ended_at - item.arrived < 0.05 for item in replies)


@pytest.mark.parametrize("path", ["ask", "look", "book"])
@pytest.mark.parametrize(
    ("rule", "reason"),
    [
        (RULE_BY_NAME["evacuated"][0], "failure_domain_evacuated"),
        (RULE_BY_NAME["region"][0], "region_not_allowed"),
    ],
)
def test_a_pool_without_an_endpoint_that_may_be_used_refuses_at_once(
    rule: Rule, reason: str, path: str
) -> None:
    """Waiting for the end of an evacuation would last until the deadline."""
    run(_refused, rule, reason, path)
