"""Prompts with a part that crashes engines, while instances have faults.

Few engines may be lost to each bad part, and sound prompts that share the other parts
with it must be served.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random

from cicadacourse.platform import _names as names
from soak._callers import SHORT, Caller, RequestKind
from soak._checks import InvariantChecker
from soak._crash_checks import SoundRequests, find_later_requests
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._scenario import FaultInjector, run_under_faults, send_requests

ENGINES_PER_INSTANCE = 3
SOUND_CALLERS_PER_INSTANCE = 2
BAD_PART = "bad"
BAD_CALLERS = 4
BAD_PAUSE_S = 1.0
# Once as many engines have crashed, few requests with the part may reach engines.
CRASHES = 5

PROMPT_FAULTS = select_faults("restart", "kill", "freeze", "store-link")


async def run_prompt_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, ENGINES_PER_INSTANCE, has_endpoint_links=False)
    async with running_environment(folder, seed, site) as environment:
        checker, sound = InvariantChecker(environment), SoundRequests("sound prompts")
        for endpoint in environment.fleet.endpoint_by_id.values():
            endpoint.worker.crashing_part_ids = {BAD_PART}
        runs = [
            send_requests(
                checker,
                Caller(environment, f"c{number}"),
                (SHORT,),
                sound.record,
                _draw_sound_headers,
            )
            for number in range(SOUND_CALLERS_PER_INSTANCE * size)
        ]
        for number in range(BAD_CALLERS):
            runs.append(_send_bad(Caller(environment, f"bad{number}")))
        await run_under_faults(checker, runs, inject, (SHORT,))
        _check_losses(checker, environment, sound)
    return checker


def make_part_headers(*parts: str) -> dict[str, str]:
    """Returns the header that names a prompt's parts."""
    return {names.HEADER_PROMPT_PARTS: ",".join(f"{part}:100" for part in parts)}


def draw_own_part(chooser: random.Random) -> str:
    """Returns the id of a part that no other prompt has."""
    return f"own{chooser.randrange(10**9)}"


def _draw_headers(chooser: random.Random, part: str) -> dict[str, str]:
    """Returns the header of a prompt with a common part, another one and its own."""
    first = f"first{chooser.randrange(2)}"
    return make_part_headers(first, part, draw_own_part(chooser))


def _draw_sound_headers(chooser: random.Random, _: RequestKind) -> dict[str, str]:
    return _draw_headers(chooser, f"s{int(chooser.paretovariate(0.7))}")


async def _send_bad(caller: Caller) -> None:
    chooser, key = caller.chooser, caller.environment.keys[0]
    with contextlib.closing(caller):
        while True:
            await caller.send(SHORT, key, _draw_headers(chooser, BAD_PART))
            caller.close()
            await asyncio.sleep(chooser.expovariate(1 / BAD_PAUSE_S))


def _check_losses(
    checker: InvariantChecker, environment: SoakEnvironment, sound: SoundRequests
) -> None:
    crashed_at = environment.fleet.crashed_at
    print(
        f"{len(crashed_at)} engines crashed;"
        f" {sound.served} of {sound.sent} sound requests served"
    )
    bad = [
        arrival
        for worker in checker.workers
        for arrival in worker.arrivals
        if BAD_PART in arrival.prefix_ids
    ]
    checker.violations += find_later_requests("a part", crashed_at, CRASHES, bad)
    checker.violations += sound.find_unserved()
