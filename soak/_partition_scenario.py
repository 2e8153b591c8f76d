"""Instances that are cut off from endpoints, beside signals, restarts and changes.

Callers, the store and the other instances still reach them.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib

from cicadacourse.util.clock import now
from soak._callers import BOOKING, LOOKUP, SHORT, Attempt, Caller
from soak._checks import InvariantChecker
from soak._cuts import Cut
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._instances import InstanceProcess
from soak._partition_checks import PartitionHistory
from soak._scenario import FaultInjector, run_under_faults, send_requests

CALLERS_PER_INSTANCE = 5
LEAVING_CALLERS = 3
KINDS = (SHORT, LOOKUP, BOOKING)
# How long a cut lasts, in seconds.
CUT_S = (2.0, 9.0)
# The share of the cuts that leave some endpoints.
PARTIAL_SHARE = 0.25
# So many instances are left without a cut.
MIN_UNCUT = 2
LEAVE_AFTER_S = (0.05, 0.5)

PARTITION_FAULTS = select_faults("restart", "freeze", "new-keys")


async def run_partition_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, is_partitionable=True)
    async with running_environment(folder, seed, site) as environment:
        checker = InvariantChecker(environment)
        history = PartitionHistory(environment.instances, environment.cuts)
        runs = [
            send_requests(
                checker, Caller(environment, f"c{number}"), KINDS, history.record
            )
            for number in range(CALLERS_PER_INSTANCE * size)
        ]
        for number in range(LEAVING_CALLERS):
            caller = Caller(environment, f"leaving{number}")
            runs.append(_leave_early(environment, caller, history.departures))
        runs.append(history.records.sample_faults(environment))
        await run_under_faults(checker, runs, inject, KINDS)
        print(history.summarize())
        checker.violations += history.find_unserved()
        checker.violations += history.find_late_ends(checker.workers)
    return checker


@PARTITION_FAULTS.register("cut-domain")
async def cut_domain(environment: SoakEnvironment, duration_s: float) -> None:
    """Cuts most or all instances of one failure domain off."""
    chooser, instances = environment.random, environment.instances
    domain = chooser.choice(instances).failure_domain
    chosen = [item for item in instances if item.failure_domain == domain]
    least = (len(chosen) + 1) // 2
    await _cut(environment, chosen[: chooser.randint(least, len(chosen))])


@PARTITION_FAULTS.register("cut-some")
async def cut_some(environment: SoakEnvironment, duration_s: float) -> None:
    """Cuts some instances off, whatever their failure domains."""
    chooser, instances = environment.random, environment.instances
    count = chooser.randint(1, max(1, len(instances) // 2))
    await _cut(environment, chooser.sample(instances, count))


async def _cut(environment: SoakEnvironment, chosen: list[InstanceProcess]) -> None:
    """Cuts instances off for some seconds, unless too few would be left."""
    chooser = environment.random
    ids = sorted(environment.link_by_endpoint_id)
    if chooser.random() < PARTIAL_SHARE:
        ids = chooser.sample(ids, chooser.randint(1, len(ids)))
    cut, seconds = chooser.choice(list(Cut)), chooser.uniform(*CUT_S)
    cuts = environment.cuts
    left = [
        item
        for item in environment.instances
        if item not in chosen and not cuts.is_cut(item, now(), now())
    ]
    if len(left) < MIN_UNCUT:
        return
    with cuts.cutting(chosen, ids, cut):
        await asyncio.sleep(seconds)


async def _leave_early(
    environment: SoakEnvironment, caller: Caller, departures: list[Attempt]
) -> None:
    """Sends streams and leaves before they have ended, until cancelled."""
    while True:
        after_s = caller.chooser.uniform(*LEAVE_AFTER_S)
        with contextlib.closing(caller):
            attempt = await caller.send(
                SHORT, environment.keys[0], leave_after_s=after_s
            )
        if attempt is not None and attempt.response is None:
            departures.append(attempt)
        await asyncio.sleep(after_s)
