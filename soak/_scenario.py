"""Runs callers against an environment with faults and checks the invariants."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
from typing import Any, Awaitable, Callable, Coroutine, Mapping, Sequence

from soak._callers import (
    NO_HEADERS,
    REQUEST_KINDS,
    REQUEST_PAUSE_S,
    SHORT,
    Attempt,
    Caller,
    RequestKind,
)
from soak._checks import InvariantChecker
from soak._environment import (
    Site,
    SoakEnvironment,
    clear_faults,
    running_environment,
)

CALLERS_PER_INSTANCE = 3
WARM_UP_S = 4.0
# All requests must be served again this long after the last fault.
RECOVERY_S = 12.0
RECOVERY_REQUESTS = 20

FaultInjector = Callable[[SoakEnvironment], Awaitable[None]]
HeaderDrawer = Callable[[random.Random, RequestKind], Mapping[str, str]]


async def run_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed and returns the checker with the violations it found.

    :param folder: the folder for the instances' settings and output.
    :param size: the number of instances.
    :param inject: injects faults while callers send requests, and returns after the
        last one.
    """
    async with running_environment(folder, seed, Site(size)) as environment:
        checker = InvariantChecker(environment)
        runs = [
            send_requests(checker, Caller(environment, f"c{number}"), REQUEST_KINDS)
            for number in range(CALLERS_PER_INSTANCE * size)
        ]
        runs.append(_send_with_removed_keys(checker, Caller(environment, "old")))
        await run_under_faults(checker, runs, inject, REQUEST_KINDS)
    return checker


async def run_under_faults(
    checker: InvariantChecker,
    runs: Sequence[Coroutine[Any, Any, None]],
    inject: FaultInjector,
    kinds: Sequence[RequestKind],
) -> None:
    """Runs callers while faults are injected, and checks what is left of them.

    :param runs: what callers do until they are cancelled.
    :param kinds: the requests that must be served after the recovery time.
    """
    environment = checker.environment
    await asyncio.sleep(WARM_UP_S)
    tasks = [asyncio.create_task(run) for run in runs]
    await inject(environment)
    await clear_faults(environment)
    await asyncio.sleep(RECOVERY_S)
    await stop_tasks(tasks)
    await check_recovered(checker, Caller(environment, "last"), kinds)
    for instance in environment.instances:
        await instance.stop()
    checker.check_final_state()


async def send_requests(
    checker: InvariantChecker,
    caller: Caller,
    kinds: Sequence[RequestKind],
    record: Callable[[list[Attempt]], None] = lambda _: None,
    draw_headers: HeaderDrawer = lambda *_: NO_HEADERS,
    key: str | None = None,
) -> None:
    """Sends requests of these kinds, by their weights, until cancelled.

    :param record: called with all attempts of each request.
    :param draw_headers: draws further header fields of a request.
    :param key: the callers' key; None for the oldest one of the first organisation.
    """
    environment, chooser = checker.environment, caller.chooser
    weights = [kind.weight for kind in kinds]
    with contextlib.closing(caller):
        while True:
            kind = chooser.choices(kinds, weights)[0]
            headers = draw_headers(chooser, kind)
            used_key = key or environment.keys[0]
            attempts = await caller.request(kind, used_key, headers)
            record(attempts)
            checker.check_request(attempts)
            await asyncio.sleep(chooser.expovariate(1 / REQUEST_PAUSE_S))


async def _send_with_removed_keys(checker: InvariantChecker, caller: Caller) -> None:
    """Sends requests with the two keys that were removed last, until cancelled."""
    environment = checker.environment
    while True:
        await asyncio.sleep(REQUEST_PAUSE_S)
        for key in list(environment.removed_at_by_key)[-2:]:
            attempt = await caller.send(SHORT, key)
            if attempt is not None:
                checker.check_removed_key(attempt)
            caller.close()


async def check_recovered(
    checker: InvariantChecker, caller: Caller, kinds: Sequence[RequestKind]
) -> None:
    """Sends requests of these kinds, each of which must be served."""
    for _ in range(RECOVERY_REQUESTS):
        kind = caller.chooser.choice(kinds)
        attempt = await caller.send(kind, checker.environment.keys[0])
        caller.close()
        checker.check_recovered(attempt)


def inject_beside(
    inject: FaultInjector, work: Callable[[], Coroutine[Any, Any, None]]
) -> FaultInjector:
    """Returns an injector of faults that also does some work, until the last one."""

    async def inject_and_work(environment: SoakEnvironment) -> None:
        task = asyncio.create_task(work())
        await inject(environment)
        await stop_tasks([task])

    return inject_and_work


async def stop_tasks(tasks: list[asyncio.Task[None]]) -> None:
    """Cancels tasks; raises the exception of one that has already failed."""
    for task in tasks:
        if not task.cancel():
            task.result()
    await asyncio.gather(*tasks, return_exceptions=True)
