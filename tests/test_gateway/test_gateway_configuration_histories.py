"""Any history of configurations leaves accepted requests whole.

Hypothesis generates changes of routes, pools, limits and endpoints beside requests,
which run on a simulated clock. No endpoint fails, and each pool keeps one, so every
request that was accepted has to be served, unless its time in the queue is over.
"""

from __future__ import annotations

import asyncio

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadacourse.catalog import Endpoint, Pool, PoolShare, Route
from cicadacourse.gateway._admission import MAX_WAIT_SHARE
from cicadacourse.util.clock import now
from tests.simulated_loop import new_event_loop
from tests.test_gateway.test_gateway_configuration_changes import TIMEOUT_S, Instance
from tests.test_gateway.test_gateway_histories import (
    CATALOG,
    HOST,
    LAST_CHANGE_S,
    OK,
    FakeReply,
)

POOLS = ("engines", "plain")
# Slots of all endpoints but for the first one of each pool, so that requests wait.
FEW_SLOTS = 2
MAX_REQUESTS = 16
CLOCK_SLACK_S = 0.001


@attrs.frozen
class Change:
    """A change at ``at_s`` that ``kind`` names, of the pool ``pool``."""

    at_s: float
    kind: str
    pool: str
    number: int


@attrs.frozen
class Sent:
    """A request that is sent at ``at_s`` to the route ``path``."""

    at_s: float
    path: str


CHANGES = st.lists(
    st.builds(
        Change,
        at_s=st.floats(0, LAST_CHANGE_S),
        kind=st.sampled_from(
            ["drop", "restore", "swap", "split", "timeout", "bound", "remove", "add"]
        ),
        pool=st.sampled_from(POOLS),
        number=st.integers(1, 3),
    ),
    max_size=12,
)
REQUESTS = st.lists(
    st.builds(
        Sent,
        at_s=st.floats(0, LAST_CHANGE_S),
        path=st.sampled_from(["ask", "tell", "book", "look"]),
    ),
    min_size=1,
    max_size=MAX_REQUESTS,
)


def _apply(instance: Instance, change: Change) -> None:
    """Applies one change to the instance."""
    catalog = instance.app.get("catalog").catalog
    registry = instance.app.get("catalog").registry
    match change.kind:
        case "drop":
            instance.drop_pool(change.pool)
        case "restore":
            instance.configure(routes=CATALOG.routes, pools=CATALOG.pools)
        case "swap":
            _route_to(instance, (PoolShare("new"),))
        case "split":
            _route_to(instance, (PoolShare("new", 1.0), PoolShare(change.pool, 1.0)))
        case "timeout":
            routes = [
                attrs.evolve(item, timeout_s=change.number, max_attempts=change.number)
                for item in catalog.routes
            ]
            instance.configure(routes=tuple(routes))
        case "bound":
            pools = [
                attrs.evolve(item, max_connections=change.number)
                for item in catalog.pools
            ]
            instance.configure(pools=tuple(pools))
        case "remove":
            if len(registry.ready(change.pool)) > 1:
                instance.remove_endpoints(change.pool, keep=1)
        case "add":
            id = f"{change.pool}-{change.number}"
            address = f"10.0.0.{change.number}:1"
            instance.register(Endpoint(id, change.pool, address, "a", FEW_SLOTS))


def _route_to(instance: Instance, shares: tuple[PoolShare, ...]) -> None:
    """Routes everything to some pools, which are configured."""
    catalog = instance.app.get("catalog").catalog
    configured = {pool.name for pool in catalog.pools}
    wanted = [*CATALOG.pools, Pool("new", engine=CATALOG.pools[0].engine)]
    names = {share.pool for share in shares} - configured
    instance.configure(
        routes=tuple(attrs.evolve(item, shares=shares) for item in catalog.routes),
        pools=(*catalog.pools, *(pool for pool in wanted if pool.name in names)),
    )


def check(route: Route | None, reply: FakeReply, took_s: float) -> None:
    """Checks the response to a request.

    One that was accepted is served, or refused after its whole time in the queue.
    """
    assert reply.is_complete
    if reply.status == OK:
        return
    assert reply.status == 503
    if route is not None and {share.pool for share in route.shares} & set(POOLS):
        deadline_s = min(route.timeout_s, TIMEOUT_S)
        assert took_s >= MAX_WAIT_SHARE * deadline_s - CLOCK_SLACK_S


async def _run(changes: list[Change], requests: list[Sent]) -> None:
    instance = Instance()
    loop = asyncio.get_running_loop()
    for change in changes:
        loop.call_later(change.at_s, _apply, instance, change)

    async def send(item: Sent) -> None:
        await asyncio.sleep(item.at_s)
        catalog = instance.app.get("catalog").catalog
        route = catalog.find_route(HOST, f"/{item.path}/x")
        sent_at = now()
        reply = await instance.send(item.path)
        check(route, reply, now() - sent_at)

    await asyncio.gather(*(send(item) for item in requests))
    assert not instance.app.get("load").table.own_assignments()
    assert not len(instance.app.get("placement")._queue)


@settings(max_examples=150)
@given(changes=CHANGES, requests=REQUESTS)
def test_any_history_of_configurations_leaves_accepted_requests_whole(
    changes: list[Change], requests: list[Sent]
) -> None:
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(changes, requests))
