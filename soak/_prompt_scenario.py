"""Prompts with a part that crashes engines, while instances have faults.

Few engines may be lost to each bad part, and sound prompts that share the other parts
with it must be served.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random

import attrs

from cicadacourse.platform import _names as names
from soak._callers import SHORT, Attempt, Caller
from soak._checks import InvariantChecker
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._scenario import FaultInjector, run_under_faults, send_requests

ENGINES_PER_INSTANCE = 3
SOUND_CALLERS_PER_INSTANCE = 2
BAD_PART = "bad"
BAD_CALLERS = 4
BAD_PAUSE_S = 1.0
# Once as many engines have crashed, and all instances had time to be told of it, few
# requests with the part may reach engines.
CRASHES = 5
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3
# The share of sound requests that must be served in the end, with callers' retries.
MIN_SERVED_SHARE = 0.8

PROMPT_FAULTS = select_faults("restart", "kill", "freeze", "store-link")


@attrs.define
class SoundRequests:
    """Counts the sound requests of a run and those that were served."""

    sent: int = 0
    served: int = 0

    def record(self, attempts: list[Attempt]) -> None:
        """Records all attempts of one request."""
        self.sent += 1
        self.served += any(item.status == 200 for item in attempts)


async def run_prompt_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, ENGINES_PER_INSTANCE, has_endpoint_links=False)
    async with running_environment(folder, seed, site) as environment:
        checker, sound = InvariantChecker(environment), SoundRequests()
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


def _draw_headers(chooser: random.Random, *parts: str) -> dict[str, str]:
    """Returns the header that names a prompt's parts: a common one, others, its own."""
    first = f"first{chooser.randrange(2)}"
    own = f"own{chooser.randrange(10**9)}"
    value = ",".join(f"{part}:100" for part in (first, *parts, own))
    return {names.HEADER_PROMPT_PARTS: value}


def _draw_sound_headers(chooser: random.Random) -> dict[str, str]:
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
    if len(crashed_at) >= CRASHES:
        since = crashed_at[CRASHES - 1] + CONTACT_S
        later = [
            arrival
            for worker in checker.workers
            for arrival in worker.arrivals
            if BAD_PART in arrival.prefix_ids and arrival.at > since
        ]
        if len(later) > MAX_LATER_REQUESTS:
            checker.violations.append(
                f"{len(later)} requests with a part under which {CRASHES} engines had"
                " crashed reached engines"
            )
    if sound.served < MIN_SERVED_SHARE * sound.sent:
        checker.violations.append(
            f"only {sound.served} of {sound.sent} sound requests were served"
        )
