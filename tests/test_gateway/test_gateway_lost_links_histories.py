"""What callers and endpoints see holds in any history of links that are cut.

Cuts come in series and overlap, beside instances that freeze, end and leave, messages
that are lost or arrive twice, endpoints that crash, refuse and fall silent, and callers
that leave.
"""

from __future__ import annotations

import asyncio
import random
from typing import Awaitable, Callable

import attrs
import pytest

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_ENDED
from cicadacourse.registry import Registry
from cicadacourse.util.clock import now
from tests.endpoint_links import Exchange, LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_gateway.test_gateway_histories import NOT_RUN_STATUSES, OK, FakeReply
from tests.test_gateway.test_gateway_silence import EVENTS, run, sources

INSTANCES = 4
STREAM_ENDPOINTS = 8
CALL_ENDPOINTS = 4
LOAD_S = 10.0
MEAN_REQUEST_PAUSE_S = 0.025
MEAN_FAULT_PAUSE_S = 0.4
# All endpoints that ended are replaced by then, and all instances run.
RECOVERY_S = 6.0
RECOVERY_REQUESTS = 24
LEAVING_SHARE = 0.1
TIME_LIMITS_S = (0.5, 2.0, 4.0)
ANSWER_MARGIN_S = 0.25
# How long an exchange may go on after its caller has got its answer or has left.
CLOSE_BOUND_S = 0.5
MAX_ATTEMPTS = 3
# How many more times than each other disturbance a cut is drawn.
MORE_CUTS = 2
PATHS = ("ask", "tell", "look", "book")
IDEMPOTENT_PATHS = frozenset({"ask", "look"})

Disturbance = Callable[["History"], Awaitable[None]]
DISTURBANCES: Registry[Disturbance] = Registry("disturbance")


@attrs.define(eq=False)
class Sent:
    """A request of a history.

    :ivar left_at: when its caller left, loop time in seconds; None if it has not.
    """

    path: str
    time_limit_s: float
    reply: FakeReply = attrs.field(factory=FakeReply)
    left_at: float | None = None


@attrs.define(eq=False)
class History:
    """Draws requests and disturbances from one seed.

    :ivar blamed: ids of endpoints that were taken for ended though they ran and another
        instance reached them.
    :ivar undecidable: ids of those that no instance reached when the first one took
        them for ended. It tells the others, which may hear of it later.
    """

    cluster: GatewayCluster
    chooser: random.Random
    sent: list[Sent] = attrs.field(factory=list)
    blamed: list[str] = attrs.field(factory=list)
    undecidable: set[str] = attrs.field(factory=set)
    _away: set[str] = attrs.field(factory=set)

    def watch(self, app: Application) -> None:
        """Records the endpoints that an instance takes for ended."""

        def check(endpoint: Endpoint) -> None:
            simulated = self.cluster.endpoint_by_id.get(endpoint.id)
            if simulated is None or simulated.is_down:
                return
            links = [self.cluster.links.get(name, endpoint) for name in self.running()]
            if all(link.is_cut for link in links):
                self.undecidable.add(endpoint.id)
            elif endpoint.id not in self.undecidable:
                self.blamed.append(endpoint.id)

        app.events.connect(ENDPOINT_ENDED, check)

    def draw_instances(self) -> list[str]:
        """Returns some of the instances that run."""
        names = self.running()
        return self.chooser.sample(names, self.chooser.randint(1, len(names)))

    def running(self) -> list[str]:
        """Returns the names of the instances that run and stay."""
        names = sorted(self.cluster.memory.application_by_name)
        return [name for name in names if name not in self._away]

    def take_away(self) -> str | None:
        """Returns an instance that callers no longer choose; None if few are left."""
        names = self.running()
        if len(names) <= INSTANCES // 2:
            return None
        name = self.chooser.choice(names)
        self._away.add(name)
        return name

    def bring_back(self, name: str) -> None:
        """Lets callers choose an instance again."""
        self._away.discard(name)

    async def restart(self, name: str) -> None:
        """Starts an instance again."""
        app = await self.cluster.memory.start(name)
        self.watch(app)
        await asyncio.sleep(1.0)
        self.bring_back(name)

    async def run(self) -> None:
        """Sends requests while disturbances come and go; returns once all are over."""
        for app in self.cluster.memory.applications:
            self.watch(app)
        until = now() + LOAD_S
        disturbing = asyncio.create_task(self._disturb_until(until))
        tasks = []
        while now() < until:
            tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(self.chooser.expovariate(1 / MEAN_REQUEST_PAUSE_S))
        await disturbing
        await asyncio.gather(*tasks)

    async def _disturb_until(self, until: float) -> None:
        async with asyncio.TaskGroup() as group:
            while now() < until:
                names = DISTURBANCES.names()
                name = self.chooser.choice([*names, *["cut"] * MORE_CUTS])
                group.create_task(DISTURBANCES.get(name)(self))
                await asyncio.sleep(self.chooser.expovariate(1 / MEAN_FAULT_PAUSE_S))

    async def _send(self) -> None:
        name = self.chooser.choice(self.running())
        sent = Sent(self.chooser.choice(PATHS), self.chooser.choice(TIME_LIMITS_S))
        self.sent.append(sent)
        request = self.cluster.send(
            name,
            sent.path,
            timeout_s=sent.time_limit_s,
            # Requests with the same body are suspected together when endpoints crash.
            body=str(len(self.sent)).encode(),
            reply=sent.reply,
        )
        task = asyncio.create_task(request)
        if self.chooser.random() < LEAVING_SHARE:
            await asyncio.wait({task}, timeout=self.chooser.uniform(0.0, 1.0))
            if not task.done():
                sent.left_at = now()
                sent.reply.caller_disconnected.set()
                task.cancel()
        await asyncio.gather(task, return_exceptions=sent.left_at is not None)

    async def check(self) -> None:
        """Checks what callers and endpoints saw."""
        exchanges_by_id: dict[str, list[Exchange]] = {}
        for endpoint in self.cluster.all_endpoints():
            for exchange in endpoint.exchanges:
                exchanges_by_id.setdefault(exchange.request_id, []).append(exchange)
        id_by_reply = {reply: id for id, reply in self.cluster.reply_by_id.items()}
        for sent in self.sent:
            id = id_by_reply[sent.reply]
            check_request(id, sent, exchanges_by_id.get(id, []))
        assert self.blamed == []


def check_request(id: str, sent: Sent, exchanges: list[Exchange]) -> None:
    """Checks one request's answer and what its endpoints saw of it."""
    shown = (id, sent, exchanges)
    runs = [item for item in exchanges if not item.is_refused]
    if sent.path not in IDEMPOTENT_PATHS:
        assert len(runs) <= 1, ("run twice", shown)
    assert len(runs) <= MAX_ATTEMPTS, ("too many runs", shown)
    reply = sent.reply
    ended_at = reply.ended_at if sent.left_at is None else sent.left_at
    assert ended_at is not None, ("no answer", shown)
    limit_s = sent.time_limit_s + ANSWER_MARGIN_S
    assert ended_at - reply.arrived <= limit_s, ("late", shown)
    for item in exchanges:
        assert item.closed_at is not None, ("never closed", shown)
        assert item.closed_at <= ended_at + CLOSE_BOUND_S, ("closed late", shown)
        assert item.began_at <= ended_at + CLOSE_BOUND_S, ("sent late", shown)
    if reply.is_complete and reply.status in NOT_RUN_STATUSES:
        if sent.path not in IDEMPOTENT_PATHS:
            assert not runs, ("refused though it ran", shown)
    if reply.status == OK:
        check_answer(id, sent)


def check_answer(id: str, sent: Sent) -> None:
    """Checks that an answer is the one to its request, and whole if it says so."""
    events = sources(sent.reply)
    expected = f"data: {id} ".encode()
    assert sent.reply.body.count(expected) == len(events), (id, sent)
    if sent.reply.is_complete:
        is_stream = sent.path in ("ask", "tell")
        assert len(events) == (EVENTS if is_stream else 1), (id, sent)


@DISTURBANCES.register("cut")
async def _cut(history: History) -> None:
    """Cuts instances off from all or some endpoints."""
    chooser, cluster = history.chooser, history.cluster
    endpoints = list(cluster.endpoint_by_id.values())
    if chooser.random() < 0.4:
        endpoints = chooser.sample(endpoints, chooser.randint(1, len(endpoints)))
    seconds = chooser.uniform(0.1, 5.0)
    cluster.cut(
        history.draw_instances(),
        chooser.choice(list(LinkFault)),
        endpoints,
        seconds,
        is_reset_after=chooser.random() < 0.5,
    )
    await asyncio.sleep(seconds)


@DISTURBANCES.register("freeze")
async def _freeze(history: History) -> None:
    name = history.take_away()
    if name is not None:
        history.cluster.freeze(name)
        await asyncio.sleep(history.chooser.uniform(0.1, 2.0))
        history.cluster.thaw(name)
        history.bring_back(name)


@DISTURBANCES.register("kill")
async def _kill(history: History) -> None:
    name = history.take_away()
    if name is not None:
        await history.cluster.kill(name)
        await asyncio.sleep(history.chooser.uniform(0.1, 1.0))
        await history.restart(name)


@DISTURBANCES.register("leave")
async def _leave(history: History) -> None:
    name = history.take_away()
    if name is not None:
        await history.cluster.leave(name)
        await asyncio.sleep(history.chooser.uniform(0.1, 1.0))
        await history.restart(name)


@DISTURBANCES.register("loss")
async def _lose(history: History) -> None:
    history.cluster.lose_messages(history.chooser.uniform(0.01, 0.1))
    await asyncio.sleep(history.chooser.uniform(0.5, 2.0))
    history.cluster.lose_messages(0.0)


@DISTURBANCES.register("duplicate")
async def _duplicate(history: History) -> None:
    history.cluster.duplicate_messages(0.3)
    await asyncio.sleep(history.chooser.uniform(0.5, 2.0))
    history.cluster.duplicate_messages(0.0)


@DISTURBANCES.register("crash")
async def _crash(history: History) -> None:
    endpoints = list(history.cluster.endpoint_by_id.values())
    if sum(item.is_down for item in endpoints) < 3:
        history.cluster.crash(history.chooser.choice(endpoints), 1.0)


@DISTURBANCES.register("refuse")
async def _refuse(history: History) -> None:
    endpoint = history.chooser.choice(list(history.cluster.endpoint_by_id.values()))
    endpoint.retry_after_s = 1.0
    await asyncio.sleep(history.chooser.uniform(0.1, 1.0))
    endpoint.retry_after_s = None


@DISTURBANCES.register("silence")
async def _silence(history: History) -> None:
    endpoint = history.chooser.choice(list(history.cluster.endpoint_by_id.values()))
    if history.chooser.random() < 0.3:
        endpoint.mute_connections()
    else:
        endpoint.fall_silent(history.chooser.uniform(0.05, 1.5))


async def _any_history(seed: int) -> None:
    endpoint_by_id = make_endpoints(STREAM_ENDPOINTS)
    endpoint_by_id |= make_endpoints(CALL_ENDPOINTS, "plain")
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    async with gateway_cluster(INSTANCES, endpoint_by_id, seed) as cluster:
        history = History(cluster, random.Random(seed))
        await history.run()
        await asyncio.sleep(RECOVERY_S)
        replies = [
            await cluster.send(f"n{number % INSTANCES}", PATHS[number % len(PATHS)])
            for number in range(RECOVERY_REQUESTS)
        ]
        assert [item.status for item in replies] == [OK] * RECOVERY_REQUESTS
        await history.check()
        for endpoint in cluster.endpoint_by_id.values():
            assert endpoint.in_progress == 0


@pytest.mark.parametrize("seed", range(8))
def test_no_history_of_cuts_breaks_what_callers_and_endpoints_rely_on(
    seed: int,
) -> None:
    run(_any_history, seed)
