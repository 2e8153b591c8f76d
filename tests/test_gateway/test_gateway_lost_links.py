"""Callers of instances that lose their links to the endpoints are still served.

An instance took its own lost links for failures of the endpoints: each request paid for
connect timeouts and retries, and most were refused though other instances reached all
endpoints.
"""

from __future__ import annotations

import asyncio
import random
from typing import Sequence

import attrs
import pytest

from cicadacourse.platform._endpoint_exchange import DEFAULT_KEEP_ALIVE_S
from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_gateway.test_gateway_histories import FakeReply
from tests.test_gateway.test_gateway_silence import EVENTS, check_all_left, run, sources

STREAM_ENDPOINTS = 18
CALL_ENDPOINTS = 6
CUT_S = 12.0
# From so long after a cut began, callers must be served as well as elsewhere.
SETTLED_S = 3.0
# All must be well so long after a cut has ended.
RECOVERY_S = 2.0
REQUEST_TIMEOUT_S = 4.0
# The users' bounds on first tries at instances that are cut off.
MIN_RELATIVE_SHARE = 2 / 3
FAILED_SLACK = 10
FAILED_SHARE = 1 / 50
RATE = 60.0
PATHS = ("ask", "ask", "look", "book", "tell")


@attrs.frozen
class FirstTry:
    """One request, whose caller doesn't come back."""

    at: float
    instance: str
    path: str
    reply: FakeReply

    @property
    def is_served(self) -> bool:
        """Whether the caller got the whole response of one endpoint for each event."""
        reply = self.reply
        events = EVENTS if self.path in ("ask", "tell") else 1
        return (reply.status, reply.is_complete) == (200, True) and len(
            sources(reply)
        ) == events


def make_pools() -> dict[str, SimulatedEndpoint]:
    """Returns endpoints of the pools of streams and calls."""
    endpoint_by_id = make_endpoints(STREAM_ENDPOINTS) | make_endpoints(
        CALL_ENDPOINTS, "plain"
    )
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    return endpoint_by_id


async def send_for(
    cluster: GatewayCluster, seconds: float, rate: float = RATE, seed: int = 3
) -> list[FirstTry]:
    """Sends requests of all kinds to all instances in turn; returns them once ended."""
    chooser = random.Random(seed)
    started = now()
    tasks = []

    async def send(instance: str, path: str) -> FirstTry:
        at = now()
        reply = await cluster.send(instance, path, timeout_s=REQUEST_TIMEOUT_S)
        return FirstTry(at, instance, path, reply)

    while now() < started + seconds:
        names = sorted(cluster.memory.application_by_name)
        name = names[len(tasks) % len(names)]
        tasks.append(asyncio.create_task(send(name, chooser.choice(PATHS))))
        await asyncio.sleep(chooser.expovariate(rate))
    return list(await asyncio.gather(*tasks))


def served_share(tries: Sequence[FirstTry]) -> float:
    """Returns the share of first tries that were served."""
    return sum(item.is_served for item in tries) / len(tries)


def check_first_tries(tries: Sequence[FirstTry], cut_off: Sequence[str]) -> None:
    """Checks the first tries at instances that are cut off against those elsewhere."""
    there = [item for item in tries if item.instance in cut_off]
    elsewhere = [item for item in tries if item.instance not in cut_off]
    assert len(there) > 50
    failed = [item for item in there if not item.is_served]
    statuses = sorted({(item.path, item.reply.status) for item in failed})
    message = f"{len(failed)} of {len(there)} failed there: {statuses}"
    assert served_share(elsewhere) == 1.0
    assert served_share(there) >= MIN_RELATIVE_SHARE, message
    assert len(failed) <= FAILED_SLACK + FAILED_SHARE * len(there), message


def check_sent_once(cluster: GatewayCluster) -> None:
    """Checks that no request that isn't idempotent has reached endpoints twice."""
    ids = [
        arrival.request.caller.id
        for endpoint in cluster.all_endpoints()
        for arrival in endpoint.arrivals
        if arrival.request.caller.target in ("/book/x", "/tell/x")
    ]
    assert len(ids) == len(set(ids))


async def cut_off_for(
    cluster: GatewayCluster,
    cut_off: Sequence[str],
    fault: LinkFault,
    is_reset_after: bool = False,
    seconds: float = CUT_S,
    rate: float = RATE,
) -> tuple[list[FirstTry], list[FirstTry]]:
    """Cuts instances off from all endpoints under load, after some seconds of it.

    :returns: the first tries while the cut must be dealt with, and those that came once
        all must be well again.
    """
    warm_up = asyncio.create_task(send_for(cluster, 4.0, rate, seed=1))
    await asyncio.sleep(3.0)
    began, ended = now(), now() + seconds
    cluster.cut(cut_off, fault, seconds=seconds, is_reset_after=is_reset_after)
    tries = await send_for(cluster, seconds + RECOVERY_S + 2.0, rate)
    await warm_up
    check_sent_once(cluster)
    check_all_left(cluster)
    during = [item for item in tries if began + SETTLED_S <= item.at < ended]
    return during, [item for item in tries if item.at >= ended + RECOVERY_S]


async def _cut_off(
    cut_off: Sequence[str], fault: LinkFault, is_reset_after: bool
) -> None:
    async with gateway_cluster(6, make_pools()) as cluster:
        during, after = await cut_off_for(cluster, cut_off, fault, is_reset_after)
    check_first_tries(during, cut_off)
    assert served_share(after) == 1.0


FAULTS = [
    pytest.param(LinkFault.HANG, False, id="hang"),
    pytest.param(LinkFault.HANG, True, id="hang-then-reset"),
    pytest.param(LinkFault.RESET, False, id="reset"),
    pytest.param(LinkFault.REFUSE_NEW, False, id="refuse-new"),
]


@pytest.mark.parametrize(("fault", "is_reset_after"), FAULTS)
@pytest.mark.parametrize(
    "cut_off",
    [
        pytest.param(("n0", "n3"), id="domain"),
        pytest.param(("n0", "n4"), id="two"),
        pytest.param(("n0", "n1", "n5"), id="three"),
    ],
)
def test_instances_without_links_to_endpoints_serve_first_tries(
    cut_off: Sequence[str], fault: LinkFault, is_reset_after: bool
) -> None:
    run(_cut_off, cut_off, fault, is_reset_after)


async def _serve_all(fault: LinkFault, is_reset_after: bool) -> None:
    cut_off = ("n0", "n3")
    async with gateway_cluster(6, make_pools()) as cluster:
        warm_up = asyncio.create_task(send_for(cluster, 4.0, seed=1))
        await asyncio.sleep(3.0)
        cluster.cut(cut_off, fault, seconds=CUT_S, is_reset_after=is_reset_after)
        await asyncio.sleep(SETTLED_S)
        tries = await send_for(cluster, CUT_S - SETTLED_S)
        await warm_up
        assert [item for item in tries if not item.is_served] == []
        check_sent_once(cluster)
        check_all_left(cluster)


@pytest.mark.parametrize(("fault", "is_reset_after"), FAULTS)
def test_no_first_try_fails_once_a_cut_has_lasted_three_seconds(
    fault: LinkFault, is_reset_after: bool
) -> None:
    """Stricter than the bounds above: the callers' requests need no links there."""
    run(_serve_all, fault, is_reset_after)


async def _after_kept_connection() -> None:
    async with gateway_cluster(1, make_endpoints(1, "plain")) as cluster:
        assert (await cluster.send("n0", "look")).status == 200
        heal = cluster.cut(["n0"], LinkFault.REFUSE_NEW)
        await asyncio.gather(*(cluster.send("n0", "look") for _ in range(2)))
        await asyncio.sleep(0.5)
        heal()
        await asyncio.sleep(RECOVERY_S + DEFAULT_KEEP_ALIVE_S)
        assert (await cluster.send("n0", "look")).status == 200


def test_a_link_that_failed_beside_a_kept_connection_is_tried_again() -> None:
    """Nothing was tried while the connection was kept, nor once it had expired."""
    run(_after_kept_connection)
