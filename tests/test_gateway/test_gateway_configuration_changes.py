"""Changes of the configuration while accepted requests are in progress.

An accepted request is served by the pool that it was admitted to, as long as that pool
has endpoints, and else by the pool that the newest configuration allows. Its pool was
looked up again whenever it was placed: a change ended it, or left it in the queue.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator, Callable

import attrs
import pytest

from cicadacourse.application import Application
from cicadacourse.catalog import (
    Catalog,
    Endpoint,
    Organisation,
    Pool,
    PoolShare,
    Route,
    RouteKind,
)
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import CallerRequest, EndpointRequest, Prompt
from cicadacourse.util.clock import now
from tests.simulated_loop import new_event_loop
from tests.test_gateway.test_gateway_histories import (
    EVENTS,
    HOST,
    OK,
    FakeEndpointClient,
    FakeReply,
    make_app,
)

CHANGE_S = 0.02
SLOW_S = 0.5
TIMEOUT_S = 4.0
# A refusal that is due to a change follows it within this time.
AT_ONCE_S = 0.1
NEW_ENDPOINT = Endpoint("new-0", "new", "10.0.1.0:1", "a", 8)
ACME = Organisation("acme", ("key",))


def _simulate(scenario: Callable[[], Any]) -> None:
    """Runs a scenario on a simulated clock."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(scenario())


class _Client(FakeEndpointClient):
    """Counts the exchanges of each endpoint; those of slow ones take ``SLOW_S``."""

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.in_progress = 0
        self.most_in_progress = 0
        self.sent_to: list[str] = []

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        request: EndpointRequest,
        is_idempotent: bool,
        head_timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> AsyncIterator[Any]:
        """Simulates an exchange; see :class:`FakeEndpointClient`."""
        self.sent_to.append(request.endpoint.id)
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            if self.fault_by_endpoint[request.endpoint.id] == "held":
                await asyncio.sleep(SLOW_S)
            parent = super().exchange(request, is_idempotent, head_timeout_s)
            async with parent as response:
                yield response
        finally:
            self.in_progress -= 1


@attrs.define
class Instance:
    """One instance with endpoints that are fakes."""

    app: Application = attrs.field(factory=make_app)
    replies: list[FakeReply] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.app._services_by_name["endpoint_caller"] = _Client(self.app)

    @property
    def client(self) -> _Client:
        return self.app.get("endpoint_caller")

    def show_fault(self, fault: str) -> None:
        """Lets all endpoints show a fault from now on."""
        self.client.fault_by_endpoint.clear()
        for endpoint in self.app.get("catalog").registry.all():
            self.client.fault_by_endpoint[endpoint.id] = fault

    def configure(self, **changes: Any) -> None:
        """Puts a changed configuration in force."""
        service = self.app.get("catalog")
        newest = attrs.evolve(
            service.catalog, version=service.catalog.version + 1, **changes
        )
        assert service.apply_if_newer(newest, "test")

    def drop_pool(self, pool: str) -> None:
        """Removes a pool and its routes; its endpoints stay registered."""
        catalog: Catalog = self.app.get("catalog").catalog
        self.configure(
            pools=tuple(item for item in catalog.pools if item.name != pool),
            routes=tuple(
                attrs.evolve(route, shares=shares)
                for route in catalog.routes
                if (shares := tuple(s for s in route.shares if s.pool != pool))
            ),
        )

    def move_routes(self, **changes: Any) -> None:
        """Moves all routes to another pool, whose endpoint is registered."""
        catalog: Catalog = self.app.get("catalog").catalog
        self.register(NEW_ENDPOINT)
        self.configure(
            pools=(Pool("new", engine=catalog.pool_by_name["engines"].engine),),
            routes=tuple(
                attrs.evolve(item, shares=(PoolShare("new"),), **changes)
                for item in catalog.routes
            ),
        )

    def register(self, endpoint: Endpoint) -> None:
        """Registers an endpoint."""
        self.app.get("catalog").registry.put(endpoint)
        self.app.events.emit(ENDPOINT_CHANGED, endpoint)

    def remove_endpoints(self, pool: str, keep: int = 0) -> None:
        """Removes the endpoints of a pool but for the first ones."""
        registry = self.app.get("catalog").registry
        for endpoint in registry.ready(pool)[keep:]:
            registry.remove(endpoint.id)
            self.app.events.emit(ENDPOINT_CHANGED, endpoint)

    async def send(self, path: str, key: str | None = None) -> FakeReply:
        """Sends a request and returns its reply, once it has ended."""
        is_stream = path in ("ask", "tell")
        request = CallerRequest(
            id=f"r{len(self.replies)}",
            method="POST",
            host=HOST,
            target=f"/{path}/x",
            key=key,
            arrived=now(),
            timeout_s=TIMEOUT_S,
            last_event_id=None,
            prompt=Prompt("m", 4000, 46 * EVENTS) if is_stream else None,
            headers=(),
            body=b"",
        )
        reply = FakeReply()
        self.replies.append(reply)
        await self.app.get("gateway").handle(request, reply)
        return reply

    def start(self, path: str, **arguments: Any) -> asyncio.Task[FakeReply]:
        """Starts to send a request."""
        return asyncio.create_task(self.send(path, **arguments))


async def _queue_one(instance: Instance) -> list[asyncio.Task[FakeReply]]:
    """Returns a request in progress at the only connection, and one that waits."""
    instance.configure(
        pools=tuple(
            attrs.evolve(item, max_connections=1)
            for item in instance.app.get("catalog").catalog.pools
        )
    )
    instance.remove_endpoints("plain", keep=1)
    instance.show_fault("held")
    tasks = [instance.start("look") for _ in range(2)]
    await asyncio.sleep(CHANGE_S)
    assert len(instance.app.get("placement")._queue) == 1
    return tasks


def test_a_request_is_tried_again_after_its_pool_was_dropped() -> None:
    """The retry found the pool unknown and the request ended with 502."""

    async def scenario() -> None:
        instance = Instance()
        instance.show_fault("reset")
        task = instance.start("look")
        await asyncio.sleep(CHANGE_S)
        instance.drop_pool("plain")
        instance.show_fault("none")
        assert (await task).status == OK

    _simulate(scenario)


def test_a_request_that_was_refused_is_tried_again_after_its_pool_was_dropped() -> None:
    async def scenario() -> None:
        instance = Instance()
        instance.show_fault("held")
        task = instance.start("book")
        await asyncio.sleep(CHANGE_S)
        first = instance.client.sent_to[0]
        instance.client.fault_by_endpoint[first] = "refuse"
        instance.drop_pool("plain")
        assert (await task).status == OK

    _simulate(scenario)


def test_a_stream_is_resumed_after_its_pool_was_dropped() -> None:
    """The stream was broken off."""

    async def scenario() -> None:
        instance = Instance()
        instance.show_fault("cut")
        task = instance.start("ask")
        await asyncio.sleep(CHANGE_S)
        instance.drop_pool("engines")
        instance.show_fault("none")
        reply = await task
        assert reply.is_complete
        assert reply.body.count(b"data:") == EVENTS

    _simulate(scenario)


def test_a_queued_request_is_placed_after_its_pool_was_dropped() -> None:
    """It stayed in the queue beside a free endpoint until its wait was over."""

    async def scenario() -> None:
        instance = Instance()
        tasks = await _queue_one(instance)
        instance.drop_pool("plain")
        replies = await asyncio.gather(*tasks)
        assert [reply.status for reply in replies] == [OK, OK]
        assert now() < 2 * SLOW_S + 2 * AT_ONCE_S
        assert instance.client.most_in_progress == 1

    _simulate(scenario)


def test_a_queued_request_moves_with_its_route_once_its_pool_is_empty() -> None:
    """It stayed in the queue of a pool without endpoints until its wait was over."""

    async def scenario() -> None:
        instance = Instance()
        _, queued = await _queue_one(instance)
        instance.remove_endpoints("plain")
        instance.move_routes()
        changed_at = now()
        assert (await queued).status == OK
        assert now() - changed_at < AT_ONCE_S
        assert instance.client.sent_to[-1] == NEW_ENDPOINT.id

    _simulate(scenario)


def test_a_queued_request_moves_when_its_pool_is_emptied_after_the_route_moved() -> (
    None
):
    async def scenario() -> None:
        instance = Instance()
        _, queued = await _queue_one(instance)
        instance.move_routes()
        await asyncio.sleep(CHANGE_S)
        assert NEW_ENDPOINT.id not in instance.client.sent_to
        instance.remove_endpoints("plain")
        changed_at = now()
        assert (await queued).status == OK
        assert now() - changed_at < AT_ONCE_S
        assert instance.client.sent_to[-1] == NEW_ENDPOINT.id

    _simulate(scenario)


def test_a_queued_request_that_has_moved_is_placed_after_its_new_pool_was_dropped() -> (
    None
):
    async def scenario() -> None:
        instance = Instance()
        _, queued = await _queue_one(instance)
        instance.move_routes()
        instance.register(attrs.evolve(NEW_ENDPOINT, slots=1))
        instance.client.fault_by_endpoint[NEW_ENDPOINT.id] = "held"
        first = instance.start("look")
        await asyncio.sleep(CHANGE_S)
        instance.remove_endpoints("plain")
        await asyncio.sleep(CHANGE_S)
        instance.drop_pool("new")
        assert (await queued).status == OK
        assert now() < 2 * SLOW_S + 2 * AT_ONCE_S
        assert (await first).status == OK

    _simulate(scenario)


def test_a_queued_request_is_refused_at_once_when_its_pool_is_empty() -> None:
    async def scenario() -> None:
        instance = Instance()
        _, queued = await _queue_one(instance)
        instance.remove_endpoints("plain")
        changed_at = now()
        assert (await queued).status == 503
        assert now() - changed_at < AT_ONCE_S
        assert not instance.client.run_counts["r1"]

    _simulate(scenario)


@pytest.mark.parametrize("path", ["look", "ask"])
def test_a_request_is_tried_again_at_the_pool_that_its_route_moved_to(
    path: str,
) -> None:
    async def scenario() -> None:
        instance = Instance()
        instance.show_fault("cut" if path == "ask" else "reset")
        task = instance.start(path)
        await asyncio.sleep(CHANGE_S)
        instance.move_routes()
        for pool in ("plain", "engines"):
            instance.remove_endpoints(pool)
        reply = await task
        assert (reply.status, reply.is_complete) == (OK, True)
        assert instance.client.sent_to[-1] == NEW_ENDPOINT.id

    _simulate(scenario)


def test_a_request_stays_at_its_pool_while_that_has_endpoints() -> None:
    async def scenario() -> None:
        instance = Instance()
        instance.show_fault("reset")
        task = instance.start("look")
        await asyncio.sleep(CHANGE_S)
        instance.move_routes()
        instance.show_fault("none")
        assert (await task).status == OK
        assert NEW_ENDPOINT.id not in instance.client.sent_to

    _simulate(scenario)


def _make_other_kind(instance: Instance) -> None:
    instance.move_routes(kind=RouteKind.UNSAFE)


def _remove_key(instance: Instance) -> None:
    instance.configure(organisations=(attrs.evolve(ACME, keys=("other",)),))
    instance.move_routes()


def _give_key_away(instance: Instance) -> None:
    instance.configure(organisations=(Organisation("other", ("key",)),))
    instance.move_routes()


def _remove_route(instance: Instance) -> None:
    instance.move_routes()
    instance.configure(routes=())


@pytest.mark.parametrize(
    "change", [_make_other_kind, _remove_key, _give_key_away, _remove_route]
)
def test_a_request_moves_only_where_the_newest_configuration_allows_it(
    change: Callable[[Instance], None],
) -> None:
    async def scenario() -> None:
        instance = Instance()
        instance.configure(organisations=(ACME,))
        instance.show_fault("held")
        task = instance.start("look", key="key")
        await asyncio.sleep(CHANGE_S)
        instance.show_fault("refuse")
        change(instance)
        instance.remove_endpoints("plain")
        assert (await task).status == 503
        assert NEW_ENDPOINT.id not in instance.client.sent_to

    _simulate(scenario)


def test_a_shorter_timeout_does_not_end_an_accepted_request() -> None:
    async def scenario() -> None:
        instance = Instance()
        instance.show_fault("held")
        task = instance.start("look")
        await asyncio.sleep(CHANGE_S)
        routes: tuple[Route, ...] = instance.app.get("catalog").catalog.routes
        instance.configure(
            routes=tuple(
                attrs.evolve(item, timeout_s=CHANGE_S, max_attempts=1)
                for item in routes
            )
        )
        assert (await task).status == OK

    _simulate(scenario)


def test_a_request_that_arrives_between_two_configurations_is_served() -> None:
    """It waits for the newer configuration, which allows it."""

    async def scenario() -> None:
        instance = Instance()
        service = instance.app.get("catalog")
        routes = service.catalog.routes
        instance.configure(routes=())
        service.freshness.hear_of(service.catalog.version + 1, now())
        task = instance.start("look")
        await asyncio.sleep(CHANGE_S)
        instance.configure(routes=routes)
        assert (await task).status == OK

    _simulate(scenario)
