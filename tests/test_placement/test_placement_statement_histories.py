"""What endpoints state of further requests is kept in any history.

Endpoints leave and decline requests while their registry entries are rewritten, beside
links that are cut, messages that are lost, instances that freeze, end and leave,
endpoints that crash and fall silent, and callers that leave.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from typing import Callable

import attrs
import pytest

from cicadacourse.registry import Registry
from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import gateway_cluster
from tests.registry_entries import (
    GONE,
    IN_OTHER_POOL,
    WITHOUT_START,
    list_entry,
)
from tests.simulated_endpoints import Answer, Arrival, SimulatedEndpoint
from tests.test_gateway.test_gateway_lost_links_histories import (
    CALL_ENDPOINTS,
    DISTURBANCES,
    EVENTS,
    INSTANCES,
    MEAN_FAULT_PAUSE_S,
    RECOVERY_S,
    STREAM_ENDPOINTS,
    Disturbance,
    History,
)
from tests.test_placement.test_placement_leaving import DRAIN_S, make_started_endpoints
from tests.test_placement.test_placement_retry_after import (
    GRACE_S,
    MAX_ARRIVALS,
    run,
)

# The platform's ``contactMs``: a fault so long before excuses what was held up by it.
CONTACT_S = 3.0
MAX_LEAVING = 3
STATEMENTS: Registry[Disturbance] = Registry("disturbance of statements")
# These are drawn as often as all others together.
STATEMENT_SHARE = 0.5
# The others; a cut is recorded here, and a refusal lasts as long as is stated.
OTHERS = [name for name in DISTURBANCES.names() if name not in ("cut", "refuse")]


@attrs.define(eq=False)
class StatementHistory(History):
    """Draws what endpoints state as well, and checks that it is kept.

    :ivar faults: when an instance began and ceased to be frozen or away, by its name.
    :ivar cuts: the same for links, by the names of the instance and the endpoint.
    """

    faults: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    cuts: dict[tuple[str, str], list[tuple[float, float]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    _away_since: dict[str, float] = attrs.field(factory=dict)

    def take_away(self) -> str | None:
        """Returns an instance that has a fault from now on."""
        name = super().take_away()
        if name is not None:
            self._away_since[name] = now()
        return name

    def bring_back(self, name: str) -> None:
        """Records that the fault of an instance is over."""
        super().bring_back(name)
        self.faults[name].append((self._away_since.pop(name), now()))

    async def _disturb_until(self, until: float) -> None:
        async with asyncio.TaskGroup() as group:
            while now() < until:
                if self.chooser.random() < STATEMENT_SHARE:
                    disturb = STATEMENTS.get(self.chooser.choice(STATEMENTS.names()))
                else:
                    disturb = DISTURBANCES.get(self.chooser.choice(OTHERS))
                group.create_task(disturb(self))
                await asyncio.sleep(self.chooser.expovariate(2 / MEAN_FAULT_PAUSE_S))

    def is_excused(
        self, instance: str, endpoint: SimulatedEndpoint, since: float, until: float
    ) -> bool:
        """Returns whether an instance or its link had a fault in some time."""
        spans = [
            *self.faults[instance],
            *self.cuts[instance, endpoint.endpoint.address],
        ]
        return any(start <= until and end >= since for start, end in spans)

    def late_arrivals(self, endpoint: SimulatedEndpoint) -> list[Arrival]:
        """Returns the requests that came though the instance knew that it leaves."""
        told = [item for item in endpoint.answers if item.head.is_leaving]
        return [
            arrival
            for arrival in endpoint.arrivals
            if any(self._is_late(endpoint, arrival, answer) for answer in told)
        ]

    def _is_late(
        self, endpoint: SimulatedEndpoint, arrival: Arrival, answer: Answer
    ) -> bool:
        sent_at = arrival.request.caller.arrived
        is_late = arrival.instance == answer.instance and sent_at > answer.at + DRAIN_S
        return is_late and not self.is_excused(
            arrival.instance, endpoint, answer.at, arrival.at
        )

    def early_arrivals(self, endpoint: SimulatedEndpoint) -> list[list[Arrival]]:
        """Returns the requests that came too early after each refusal with a time."""
        return [
            [
                arrival
                for arrival in endpoint.arrivals
                if self._is_early(endpoint, arrival, answer)
            ]
            for answer in endpoint.sent_answers
            if answer.head.retry_after_s is not None
        ]

    def _is_early(
        self, endpoint: SimulatedEndpoint, arrival: Arrival, answer: Answer
    ) -> bool:
        until = answer.at + (answer.head.retry_after_s or 0.0)
        is_early = answer.at + GRACE_S < arrival.at < until
        return (
            is_early
            and arrival.instance == answer.instance
            and not self.is_excused(
                arrival.instance, endpoint, answer.at - CONTACT_S, arrival.at
            )
        )

    def draw_endpoint(self) -> SimulatedEndpoint:
        """Returns one of the endpoints."""
        return self.chooser.choice(list(self.cluster.endpoint_by_id.values()))


@STATEMENTS.register("leave")
async def _leave(history: StatementHistory) -> None:
    """An endpoint leaves, unless many do."""
    endpoint = history.draw_endpoint()
    others = history.cluster.endpoint_by_id.values()
    pool = endpoint.endpoint.pool
    leaving = sum(item.is_leaving and item.endpoint.pool == pool for item in others)
    if leaving < MAX_LEAVING:
        endpoint.is_leaving = True


@STATEMENTS.register("decline")
async def _decline(history: StatementHistory) -> None:
    """An endpoint refuses all or some requests for some seconds."""
    endpoint = history.draw_endpoint()
    endpoint.refused_share = history.chooser.choice([0.3, 0.6, 1.0])
    endpoint.retry_after_s = history.chooser.uniform(1.0, 4.0)
    await asyncio.sleep(history.chooser.uniform(0.5, 4.0))
    endpoint.retry_after_s = None


@STATEMENTS.register("rewrite")
async def _rewrite(history: StatementHistory) -> None:
    """Another writer's entries stand for some endpoints; then they write their own."""
    chooser = history.chooser
    endpoints = [item for item in history.cluster.all_endpoints() if not item.is_down]
    former = [item.endpoint for item in chooser.sample(endpoints, 4)]
    for _ in range(chooser.randint(1, 3)):
        changes = chooser.choice([GONE, IN_OTHER_POOL, WITHOUT_START])
        for endpoint in former:
            list_entry(history.cluster, endpoint, changes)
        await asyncio.sleep(chooser.uniform(0.05, 0.4))
    for endpoint in former:
        if endpoint.id in history.cluster.endpoint_by_id:
            list_entry(history.cluster, endpoint, {})
        else:
            list_entry(history.cluster, endpoint, GONE)


@STATEMENTS.register("cut")
async def _cut(history: StatementHistory) -> None:
    """Instances lose their links to all or some endpoints."""
    chooser, cluster = history.chooser, history.cluster
    endpoints = list(cluster.endpoint_by_id.values())
    if chooser.random() < 0.4:
        endpoints = chooser.sample(endpoints, chooser.randint(1, len(endpoints)))
    names, seconds = history.draw_instances(), chooser.uniform(0.1, 3.0)
    span = (now(), now() + seconds)
    for name in names:
        for endpoint in endpoints:
            history.cuts[name, endpoint.endpoint.address].append(span)
    cluster.cut(names, chooser.choice(list(LinkFault)), endpoints, seconds)
    await asyncio.sleep(seconds)


def check_leaving(history: StatementHistory) -> None:
    for endpoint in history.cluster.all_endpoints():
        late = history.late_arrivals(endpoint)
        assert not late, (endpoint.endpoint.id, late)


def check_declining(history: StatementHistory) -> None:
    for endpoint in history.cluster.all_endpoints():
        for early in history.early_arrivals(endpoint):
            assert len(early) <= MAX_ARRIVALS, (endpoint.endpoint.id, early)


async def _any_history(seed: int, check: Callable[[StatementHistory], None]) -> None:
    endpoint_by_id = make_started_endpoints(STREAM_ENDPOINTS)
    endpoint_by_id |= make_started_endpoints(CALL_ENDPOINTS, "plain")
    for endpoint in endpoint_by_id.values():
        endpoint.events = EVENTS
    async with gateway_cluster(INSTANCES, endpoint_by_id, seed) as cluster:
        history = StatementHistory(cluster, random.Random(seed))
        await history.run()
        await asyncio.sleep(RECOVERY_S)
        check(history)


@pytest.mark.parametrize("seed", [5, 10, 16, 19, 22, 37, 40, 41])
def test_in_no_history_endpoints_that_leave_get_requests(seed: int) -> None:
    run(_any_history, seed, check_leaving)


@pytest.mark.parametrize("seed", [30, 143, 271])
def test_in_no_history_endpoints_that_decline_get_requests(seed: int) -> None:
    run(_any_history, seed, check_declining)
