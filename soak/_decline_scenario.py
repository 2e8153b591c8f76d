"""Endpoints that say in their responses that they leave, or turn requests away.

The registry may learn of a leaving endpoint later or never, and another writer may have
written an endpoint's entry. An endpoint in need names the time for which it wants no
more requests from the instance.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
from collections import defaultdict
from typing import Any, Iterable

from cicadacourse.platform import _names as names
from cicadacourse.util.clock import now
from soak._callers import BOOKING, LOOKUP, SHORT, Attempt, Caller
from soak._checks import OK, InvariantChecker
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._request_records import RequestRecords
from soak._scenario import (
    FaultInjector,
    inject_beside,
    run_under_faults,
    send_requests,
)
from standins.platform import Decline, RegisteredEndpoint, Worker

ENGINES_PER_INSTANCE = 2
CALLERS_PER_INSTANCE = 5
KINDS = (SHORT, LOOKUP, BOOKING)
# The pauses between endpoints that begin to leave or to turn requests away.
INTERVALS_S = (0.5, 1.5)
NEED_S = (1.0, 3.0)
# How long a leaving endpoint stays in the registry, and when its entry says so.
LEAVING_S = (4.0, 7.0)
DRAINING_AFTER_S = (0.0, 1.0, 3.0, float("inf"))
# No request that a caller sent later than this after an instance passed on a response
# that says so reaches a leaving endpoint from it (``drainMs`` of the deployments).
DRAIN_S = 2.0
# Few requests reach an endpoint from later than this after it turned one away.
DECLINE_CONTACT_S = 0.5
MAX_DECLINED = 2

# The pauses between entries of another writer, and how these differ.
REWRITE_PAUSES_S = (0.1, 0.6)
REWRITES: tuple[dict[str, Any], ...] = (
    {"born": None},
    {"service": "elsewhere"},
    {"state": "unknown"},
    {"slots": "many", "born": None},
)

DECLINE_FAULTS = select_faults("restart", "kill", "freeze", "store-link")


async def run_decline_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, ENGINES_PER_INSTANCE)
    async with running_environment(folder, seed, site) as environment:
        checker, records = InvariantChecker(environment), RequestRecords()
        runs = [records.sample_faults(environment)]
        for number in range(CALLERS_PER_INSTANCE * size):
            caller = Caller(environment, f"c{number}")
            runs.append(send_requests(checker, caller, KINDS, records.record))
        inject = inject_beside(inject, lambda: _change_endpoints(environment))
        await run_under_faults(checker, runs, inject, KINDS)
        workers = checker.workers
        print(
            f"{sum(bool(worker.leaving_ids) for worker in workers)} endpoints left,"
            f" {sum(len(worker.declines) for worker in workers)} requests turned away"
        )
        checker.violations += find_sent_to_leaving(records, workers)
        checker.violations += find_sent_after_declines(records, workers)
    return checker


async def _change_endpoints(environment: SoakEnvironment) -> None:
    """Lets endpoints leave or turn requests away, until cancelled."""
    chooser = environment.random_for("endpoints")
    async with asyncio.TaskGroup() as group:
        group.create_task(_rewrite_entries(environment))
        while True:
            is_engine, leaves = chooser.random() < 0.5, chooser.random() < 0.5
            endpoint = _draw_endpoint(environment, chooser, is_engine)
            if endpoint is not None and leaves:
                group.create_task(_leave(environment, chooser, endpoint))
            elif endpoint is not None:
                endpoint.worker.declines_until = now() + chooser.uniform(*NEED_S)
            await asyncio.sleep(chooser.uniform(*INTERVALS_S))


async def _rewrite_entries(environment: SoakEnvironment) -> None:
    """Writes entries as another writer does, until cancelled.

    Half of them are under the ids of endpoints that leave or turn requests away.
    """
    chooser = environment.random_for("rewrites")
    while True:
        await asyncio.sleep(chooser.uniform(*REWRITE_PAUSES_S))
        endpoints = list(environment.fleet.endpoint_by_id.values())
        stating = [item for item in endpoints if not _is_willing(item.worker)]
        endpoint = chooser.choice(
            stating if stating and chooser.random() < 0.5 else endpoints
        )
        environment.fleet.overwrite(endpoint, chooser.choice(REWRITES))


def _is_willing(worker: Worker) -> bool:
    """Returns whether an endpoint neither leaves nor turns requests away."""
    return worker.leaving_header is None and worker.declines_until < now()


def _draw_endpoint(
    environment: SoakEnvironment, chooser: random.Random, is_engine: bool
) -> RegisteredEndpoint | None:
    """Returns an endpoint that neither leaves nor turns requests away, if any."""
    endpoints = [
        endpoint
        for endpoint in environment.fleet.endpoint_by_id.values()
        if (endpoint.worker.engine is not None) == is_engine
        and _is_willing(endpoint.worker)
    ]
    return chooser.choice(endpoints) if endpoints else None


async def _leave(
    environment: SoakEnvironment, chooser: random.Random, endpoint: RegisteredEndpoint
) -> None:
    """Lets an endpoint leave, and starts another one in its place."""
    leaving_s = chooser.uniform(*LEAVING_S)
    draining_after_s = min(chooser.choice(DRAINING_AFTER_S), leaving_s)
    endpoint.worker.leaving_header = "1"
    await environment.add_endpoint(is_engine=endpoint.worker.engine is not None)
    await asyncio.sleep(draining_after_s)
    if draining_after_s < leaving_s:
        endpoint.state = "draining"
        environment.fleet.register(endpoint)
    await asyncio.sleep(leaving_s - draining_after_s)
    environment.fleet.remove(endpoint.worker.id)


def find_sent_to_leaving(
    records: RequestRecords, workers: Iterable[Worker]
) -> list[str]:
    """Returns a line for each instance that sent requests to a leaving endpoint.

    Counted are those that a caller sent later than ``DRAIN_S`` after the instance had
    passed on a response that says so, unless it had a fault since.
    """
    found = []
    for worker in workers:
        passed_on_at = _find_passed_on(records, worker)
        sent: dict[str, list[Attempt]] = defaultdict(list)
        for arrival in worker.arrivals:
            attempt = records.attempt_by_id.get(arrival.request_id)
            if attempt is None:
                continue
            name = attempt.instance.name
            if any(
                at_s + DRAIN_S < attempt.started
                and not records.is_impaired(name, at_s, arrival.at)
                for at_s in passed_on_at[name]
            ):
                sent[name].append(attempt)
        found += [
            f"{name} sent {len(late)} requests, {late[0].id} first, to {worker.id}"
            " though it had passed on that this one leaves"
            for name, late in sent.items()
        ]
    return found


def _find_passed_on(records: RequestRecords, worker: Worker) -> dict[str, list[float]]:
    """Returns when instances passed on that an endpoint leaves, by their names."""
    passed_on_at: dict[str, list[float]] = defaultdict(list)
    for id in worker.leaving_ids:
        attempt = records.attempt_by_id.get(id)
        if attempt is not None and _is_from(attempt, worker):
            passed_on_at[attempt.instance.name].append(attempt.ended)
    return passed_on_at


def _is_from(attempt: Attempt, worker: Worker) -> bool:
    """Whether a caller got a complete response of the endpoint."""
    if attempt.status != OK or attempt.response is None:
        return False
    signature = attempt.response.headers.get(names.HEADER_SIGNATURE.lower())
    return signature == f"{worker.id}.{attempt.id}"


def find_sent_after_declines(
    records: RequestRecords, workers: Iterable[Worker]
) -> list[str]:
    """Returns a line for each instance that sent on what an endpoint turned away.

    Counted are the requests from ``DECLINE_CONTACT_S`` after a response with
    ``Retry-After`` to the end of that time, unless the instance had a fault since.
    """
    found = []
    for worker in workers:
        most: dict[str, int] = defaultdict(int)
        for decline in worker.declines:
            name = records.find_instance(decline.request_id)
            if name is not None:
                count = _count_after_decline(records, worker, decline, name)
                most[name] = max(most[name], count)
        found += [
            f"{name} sent {count} requests to {worker.id} that wanted none"
            for name, count in most.items()
            if count > MAX_DECLINED
        ]
    return found


def _count_after_decline(
    records: RequestRecords, worker: Worker, decline: Decline, name: str
) -> int:
    """Returns the number of requests that the instance of a name sent too soon."""
    since, until = decline.at + DECLINE_CONTACT_S, decline.at + decline.retry_after_s
    return sum(
        since < arrival.at < until
        and records.find_instance(arrival.request_id) == name
        and not records.is_impaired(name, decline.at, arrival.at)
        for arrival in worker.arrivals
    )
