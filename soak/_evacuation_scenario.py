"""Failure domains that operators evacuate and take back, with endpoints that are cold.

Evacuations overlap with each other and with restarts, freezes and outages of the store.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
from typing import Iterable, Sequence

import attrs

from cicadacourse.util.clock import now
from soak._callers import BOOKING, LOOKUP, SHORT, Caller
from soak._checks import InvariantChecker
from soak._environment import DOMAINS, Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._request_records import RequestRecords
from soak._scenario import (
    FaultInjector,
    inject_beside,
    run_under_faults,
    send_requests,
)
from standins.platform import RegisteredEndpoint

ENGINES_PER_INSTANCE = 3
CALLERS_PER_INSTANCE = 5
KINDS = (SHORT, LOOKUP, BOOKING)
# How long a domain is evacuated, and the pauses until the next one is.
EVACUATED_S = (6.5, 9.0)
PAUSES_S = (0.5, 2.0)
# What the deployments name ``evacuateMs``, ``outerBoundMs`` and ``contactMs``.
EVACUATION_BOUND_S = 5.0
OUTER_BOUND_S = 6.0
CONTACT_S = 4.0
COLD_RATE = 6.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
COLD_S = 3.0
SETTINGS = f"""\
[catalog]
evacuation_bound_ms = {int(EVACUATION_BOUND_S * 1000)}
[limits]
cold_overage = {COLD_OVERAGE}
"""

EVACUATION_FAULTS = select_faults(
    "restart", "kill", "freeze", "store-link", "store-down"
)


@attrs.define
class Evacuation:
    """One evacuation; loop times in seconds.

    :ivar at: when the store held it.
    :ivar withdrawn_at: when the store no longer held it.
    :ivar is_store_calm: whether the store had no fault from shortly before it to its
        end.
    """

    domain: str
    at: float
    withdrawn_at: float = float("inf")
    is_store_calm: bool = True

    @property
    def bound_s(self) -> float:
        """How long requests may still arrive."""
        return EVACUATION_BOUND_S + (0.0 if self.is_store_calm else OUTER_BOUND_S)


async def run_evacuation_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, ENGINES_PER_INSTANCE, settings=SETTINGS, cold_rate=COLD_RATE)
    async with running_environment(folder, seed, site) as environment:
        checker, records = InvariantChecker(environment), RequestRecords()
        evacuations: list[Evacuation] = []
        cold: list[tuple[RegisteredEndpoint, float]] = []
        runs = [records.sample_faults(environment)]
        for number in range(CALLERS_PER_INSTANCE * size):
            caller = Caller(environment, f"c{number}")
            runs.append(send_requests(checker, caller, KINDS, records.record))
        inject = inject_beside(
            inject, lambda: _evacuate_domains(environment, evacuations, cold)
        )
        await run_under_faults(checker, runs, inject, KINDS)
        endpoints = list(environment.fleet.endpoint_by_id.values())
        late = find_sent_to_evacuated(records, evacuations, endpoints)
        print(f"{len(evacuations)} evacuations, {len(cold)} endpoints came back cold")
        checker.violations += late
        checker.violations += find_overrun_cold(cold)
    return checker


async def _evacuate_domains(
    environment: SoakEnvironment,
    evacuations: list[Evacuation],
    cold: list[tuple[RegisteredEndpoint, float]],
) -> None:
    """Evacuates one domain after the other, until cancelled; takes all back then."""
    chooser = environment.random_for("evacuations")
    while True:
        await asyncio.sleep(chooser.uniform(*PAUSES_S))
        evacuation = Evacuation(chooser.choice(DOMAINS), now())
        evacuations.append(evacuation)
        environment.fleet.evacuate(evacuation.domain)
        try:
            await _watch_store(environment, evacuation, chooser)
        finally:
            is_cold = chooser.random() < 0.5
            environment.fleet.withdraw_evacuation(
                evacuation.domain, COLD_S if is_cold else 0.0
            )
            evacuation.withdrawn_at = now()
            if is_cold:
                endpoints = environment.fleet.endpoint_by_id.values()
                cold += [
                    (item, now())
                    for item in endpoints
                    if item.failure_domain == evacuation.domain
                ]


async def _watch_store(
    environment: SoakEnvironment, evacuation: Evacuation, chooser: random.Random
) -> None:
    """Waits for the end of an evacuation, and records whether the store is calm."""
    until = now() + chooser.uniform(*EVACUATED_S)
    window = environment.store_fault_window
    while now() < until:
        if not window.is_fault_free_since(evacuation.at - CONTACT_S):
            evacuation.is_store_calm = False
        await asyncio.sleep(0.1)


def find_sent_to_evacuated(
    records: RequestRecords,
    evacuations: Iterable[Evacuation],
    endpoints: Sequence[RegisteredEndpoint],
) -> list[str]:
    """Returns a line for each request that reached an evacuated domain too late.

    Those of instances that had a fault lately are not counted.
    """
    return [
        f"request {arrival.request_id} reached {endpoint.worker.id}"
        f" {arrival.at - evacuation.at:.2f} s after {evacuation.domain} was evacuated"
        for evacuation in evacuations
        for endpoint in endpoints
        if endpoint.failure_domain == evacuation.domain
        for arrival in endpoint.worker.arrivals
        if evacuation.at + evacuation.bound_s < arrival.at < evacuation.withdrawn_at
        and not _is_excused(records, arrival.request_id, arrival.at)
    ]


def _is_excused(records: RequestRecords, request_id: str, at: float) -> bool:
    """Returns whether the instance that sent a request had a fault shortly before."""
    name = records.find_instance(request_id)
    return name is None or records.is_impaired(name, at - CONTACT_S, at)


def find_overrun_cold(cold: Iterable[tuple[RegisteredEndpoint, float]]) -> list[str]:
    """Returns a line for each cold endpoint with too many requests in one second.

    :param cold: endpoints with the loop times at which they became cold.
    """
    allowed = COLD_RATE * COLD_OVERAGE + COLD_SLACK
    found = []
    for endpoint, since in cold:
        times = [
            item.at
            for item in endpoint.worker.arrivals
            if since <= item.at < since + COLD_S
        ]
        most = max((sum(t <= at < t + 1 for at in times) for t in times), default=0)
        if most > allowed:
            found.append(f"cold {endpoint.worker.id} got {most} requests in a second")
    return found
