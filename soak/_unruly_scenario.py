"""Clients that don't behave, beside ordinary callers, restarts and kills.

Crowds come and go at the listeners of instances whose memory and descriptors are few.
No instance may end by itself or take more memory than its machine has, and ordinary
requests are served again after the last crowd.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys

from soak._callers import BOOKING, LOOKUP, SHORT, Caller
from soak._checks import OK, InvariantChecker
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._instances import ROOT, InstanceProcess
from soak._scenario import FaultInjector, run_under_faults, send_requests
from standins.unruly_crowd import BEHAVIOURS

CALLERS_PER_INSTANCE = 4
KINDS = (SHORT, LOOKUP, BOOKING)
MEMORY_MB = 300
SETTINGS = f"[resources]\nmemory_mb = {MEMORY_MB}\nmax_descriptors = 1024\n"
CROWD_SIZES = (12, 60, 120)
# Kinds of crowds at the listeners that are not for callers.
OTHER_KINDS = ("get-short", "head-short", "silent")
PEER_KINDS = ("peer-short", "silent")
# A crowd stays for this long beyond the time of the fault.
MIN_STAY_S = 2.0
WATCH_PERIOD_S = 0.1

UNRULY_FAULTS = select_faults("restart", "kill", "new-keys")


async def run_unruly_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    async with running_environment(
        folder, seed, Site(size, settings=SETTINGS)
    ) as environment:
        checker = InvariantChecker(environment)
        runs = [
            send_requests(checker, Caller(environment, f"c{number}"), KINDS)
            for number in range(CALLERS_PER_INSTANCE * size)
        ]
        runs += [_watch(checker, instance) for instance in environment.instances]
        await run_under_faults(checker, runs, inject, KINDS)
    if not checker.statuses[OK]:
        checker.violations.append("no ordinary request was served")
    return checker


@UNRULY_FAULTS.register("callers")
async def crowd_callers(environment: SoakEnvironment, duration_s: float) -> None:
    """Lets a crowd connect to all instances as callers do."""
    kinds = sorted(set(BEHAVIOURS) - {*OTHER_KINDS, *PEER_KINDS})
    addresses = [item.caller_address for item in environment.instances]
    await _crowd(environment, environment.random.choice(kinds), addresses, duration_s)


@UNRULY_FAULTS.register("probes")
async def crowd_probes(environment: SoakEnvironment, duration_s: float) -> None:
    """Lets a crowd connect to the listeners for probes and operators."""
    kind = environment.random.choice(OTHER_KINDS)
    addresses = [
        f"{item.host}:{port}"
        for item in environment.instances
        for port in (item.ready_port, item.metrics_port)
    ]
    await _crowd(environment, kind, addresses, duration_s)


@UNRULY_FAULTS.register("peers")
async def crowd_peers(environment: SoakEnvironment, duration_s: float) -> None:
    """Lets a crowd connect to the listeners for other instances."""
    kind = environment.random.choice(PEER_KINDS)
    addresses = [f"{item.host}:{item.peer_port}" for item in environment.instances]
    await _crowd(environment, kind, addresses, duration_s)


async def _crowd(
    environment: SoakEnvironment, kind: str, addresses: list[str], duration_s: float
) -> None:
    """Runs a crowd as a process, which ends with this function."""
    size = environment.random.choice(CROWD_SIZES)
    print(f"{size} clients at each of {len(addresses)} listeners: {kind}")
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "standins.unruly_crowd", kind, str(size), *addresses),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        await asyncio.sleep(MIN_STAY_S + duration_s)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def _watch(checker: InvariantChecker, instance: InstanceProcess) -> None:
    """Checks the memory and the life of an instance, until cancelled."""
    most_mb = 0.0
    try:
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            most_mb = max(most_mb, instance.peak_memory_mb)
            if not instance.is_running and not instance.fault_window.active_faults:
                checker.violations.append(f"{instance.name} ended by itself")
                return
    finally:
        print(f"{instance.name} took {most_mb:.0f} MB at most")
        if most_mb > MEMORY_MB:
            checker.violations.append(f"{instance.name} took {most_mb:.0f} MB")
