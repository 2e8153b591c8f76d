"""Plays a load against a world that is disturbed, and judges what came of it."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from typing import Awaitable, Callable

from soak._callers import KINDS, REQUEST_PAUSE_S, SHORT, Caller
from soak._checks import InvariantChecker
from soak._world import SoakEnvironment, heal, running_world

CALLERS_PER_INSTANCE = 3
WARM_UP_S = 4.0
# After the last fault, all requests must be served again.
RECOVERY_S = 12.0
LAST_REQUESTS = 20

Disturb = Callable[[SoakEnvironment], Awaitable[None]]


async def run_scenario(
    folder: pathlib.Path, seed: int, size: int, disturb: Disturb
) -> InvariantChecker:
    """Plays one seed and returns the judge with what it found.

    :param folder: where the instances' settings and output go.
    :param size: how many instances there are.
    :param disturb: brings faults while callers send requests, and ends with the last.
    """
    async with running_world(folder, seed, size) as world:
        judge = InvariantChecker(world)
        await asyncio.sleep(WARM_UP_S)
        callers = [
            asyncio.create_task(_call_for_ever(judge, Caller(world, f"c{number}")))
            for number in range(CALLERS_PER_INSTANCE * size)
        ]
        callers.append(asyncio.create_task(_try_old_keys(judge, Caller(world, "old"))))
        await disturb(world)
        await heal(world)
        await asyncio.sleep(RECOVERY_S)
        await _end(callers)
        await _check_recovered(judge, Caller(world, "last"))
        for instance in world.instances:
            await instance.stop()
        judge.check_end()
    return judge


async def _call_for_ever(judge: InvariantChecker, caller: Caller) -> None:
    world, chooser = judge.world, caller.chooser
    weights = [kind.weight for kind in KINDS]
    with contextlib.closing(caller):
        while True:
            kind = chooser.choices(KINDS, weights)[0]
            judge.note_request(await caller.request(kind, world.keys[0]))
            await asyncio.sleep(chooser.expovariate(1 / REQUEST_PAUSE_S))


async def _try_old_keys(judge: InvariantChecker, caller: Caller) -> None:
    """Keeps asking with keys that were taken away."""
    world = judge.world
    while True:
        await asyncio.sleep(REQUEST_PAUSE_S)
        for key in list(world.gone_by_key)[-2:]:
            attempt = await caller.send(SHORT, key)
            if attempt is not None:
                judge.note_old_key(attempt)
            caller.close()


async def _check_recovered(judge: InvariantChecker, caller: Caller) -> None:
    for _ in range(LAST_REQUESTS):
        kind = caller.chooser.choice(KINDS)
        attempt = await caller.send(kind, judge.world.keys[0])
        caller.close()
        judge.check_recovered(attempt)


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    """Ends the callers; what one of them failed with is raised here."""
    for task in tasks:
        if not task.cancel():
            task.result()
    await asyncio.gather(*tasks, return_exceptions=True)
