"""Endpoints that name limits on their requests, while instances have faults.

Callers send more than a limited endpoint takes. What reaches it from instances without
a recent fault must keep to the limit in any window.
"""

from __future__ import annotations

import asyncio
import pathlib
import random

import attrs

from cicadacourse.util.clock import now
from soak._callers import LONG, LOOKUP, SHORT, Caller
from soak._checks import InvariantChecker
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._request_records import RequestRecords
from soak._scenario import (
    FaultInjector,
    inject_beside,
    run_under_faults,
    send_requests,
)
from standins.platform import Worker

ENGINES_PER_INSTANCE = 2
CALLERS_PER_INSTANCE = 4
KINDS = (SHORT, LOOKUP, LONG)
LIMITS = (0.5, 1.0, 3.0)
# A limit must be kept from this long after it is named or changed, and by an instance
# from this long after its last fault.
CONTACT_S = 3.0
WINDOW_S = 4.0
# A limit lasts longer than other faults, as it holds only after ``CONTACT_S``.
DURATION_FACTOR = 4.0

LIMIT_FAULTS = select_faults("restart", "kill", "freeze", "store-link")


@attrs.define
class NamedLimit:
    """A limit that an endpoint named for a time, in loop seconds."""

    worker: Worker
    limit: float
    since: float
    until: float = float("inf")


@attrs.define
class LimitRecords:
    """What the check needs to know of a run.

    :ivar named: the limits, in the order in which they were named.
    :ivar requests: the requests, and the faults of instances.
    """

    named: list[NamedLimit] = attrs.field(factory=list)
    requests: RequestRecords = attrs.field(factory=RequestRecords)

    def counted(self, item: NamedLimit) -> list[float]:
        """Returns the arrivals that must keep to a limit, loop times in seconds."""
        return [
            arrival.at
            for arrival in item.worker.arrivals
            if item.since + CONTACT_S <= arrival.at <= item.until
            and not self._is_excused(arrival.request_id, arrival.at)
        ]

    def _is_excused(self, request_id: str, at_s: float) -> bool:
        name = self.requests.find_instance(request_id)
        return name is None or self.requests.is_impaired(
            name, at_s - CONTACT_S, at_s + CONTACT_S
        )


async def run_limit_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, ENGINES_PER_INSTANCE)
    async with running_environment(folder, seed, site) as environment:
        checker, records = InvariantChecker(environment), LimitRecords()
        inject = inject_beside(inject, lambda: _name(environment, records))
        runs = [records.requests.sample_faults(environment)]
        for number in range(CALLERS_PER_INSTANCE * size):
            caller = Caller(environment, f"c{number}")
            runs.append(send_requests(checker, caller, KINDS, records.requests.record))
        await run_under_faults(checker, runs, inject, (SHORT, LOOKUP))
        _check_limits(checker, records)
    return checker


async def _name(environment: SoakEnvironment, records: LimitRecords) -> None:
    """Lets endpoints name limits, some at the same time, until cancelled."""
    chooser = environment.random_for("limits")
    async with asyncio.TaskGroup() as group:
        while True:
            endpoints = environment.fleet.endpoint_by_id
            worker = endpoints[chooser.choice(sorted(endpoints))].worker
            if worker.request_limit is None:
                group.create_task(_name_for_a_time(worker, chooser, records))
            await asyncio.sleep(chooser.uniform(0.5, 2.5))


async def _name_for_a_time(
    worker: Worker, chooser: random.Random, records: LimitRecords
) -> None:
    try:
        for _ in range(chooser.randint(1, 2)):
            item = NamedLimit(worker, chooser.choice(LIMITS), now())
            records.named.append(item)
            worker.request_limit = item.limit
            await asyncio.sleep(DURATION_FACTOR * chooser.uniform(1.0, 4.0))
            item.until = now()
    finally:
        item.until = min(item.until, now())
        worker.request_limit = None


def _check_limits(checker: InvariantChecker, records: LimitRecords) -> None:
    for item in records.named:
        times = records.counted(item)
        windows = (sum(0 <= at - start < WINDOW_S for at in times) for start in times)
        most = max(windows, default=0)
        if most > 1.5 * item.limit * WINDOW_S + 5:
            checker.violations.append(
                f"{item.worker.id} named {item.limit} requests per second"
                f" and got {most} in {WINDOW_S:g} s"
            )
