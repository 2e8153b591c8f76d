"""Whole requests that crash each endpoint that runs them, while instances have faults.

Each comes again at any instance, at times at several at once. Few endpoints may be lost
to it, and sound requests that share its caller, path or body must be served.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
from typing import Any, Coroutine, Iterator, Mapping, Sequence

import attrs

from soak._callers import BOOKING, LOOKUP, NO_HEADERS, SHORT, Caller, RequestKind
from soak._checks import InvariantChecker
from soak._crash_checks import SoundRequests, find_later_requests
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._prompt_scenario import draw_own_part, make_part_headers
from soak._scenario import FaultInjector, run_under_faults, send_requests
from standins.platform import ORGANISATION, RequestContent, Worker

ENGINES_PER_INSTANCE = 3
# How long an endpoint that has crashed is gone.
CRASH_S = 3.0
OTHER_ORGANISATION = "zenith"
OTHER_KEY = "key-of-zenith"
SHARED_PARTS = ("first", "second")
BAD_BODY = b"crashes endpoints"
SOUND_BODY = b"sound"
BAD_PAUSE_S = 1.0
# How many callers send a bad request at once.
SIMULTANEOUS = (1, 1, 1, 3)
# Once as many endpoints have crashed under a request, few of the same may reach others.
CRASHES = 3

REQUEST_FAULTS = select_faults("restart", "kill", "freeze", "store-link")


async def run_request_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`."""
    site = Site(size, ENGINES_PER_INSTANCE, has_endpoint_links=False)
    async with running_environment(folder, seed, site) as environment:
        checker = InvariantChecker(environment)
        call = environment.random.choice((BOOKING, LOOKUP))
        bad = [attrs.evolve(kind, body=BAD_BODY) for kind in (call, SHORT)]
        _make_endpoints_crash(environment, bad)
        sound = [SoundRequests(f"sound requests like {kind.path}") for kind in bad]
        runs: list[Coroutine[Any, Any, None]] = []
        for kind, counts in zip(bad, sound):
            callers = [Caller(environment, f"bad{kind.path}{n}") for n in range(3)]
            runs.append(_send_bad(kind, callers))
            for number in range(size):
                runs += _send_sound(checker, kind, counts, number)
        await run_under_faults(checker, runs, inject, (SHORT, LOOKUP))
        for counts in sound:
            print(f"{counts.served} of {counts.sent} {counts.name} served")
            checker.violations += counts.find_unserved()
        for kind in bad:
            checker.violations += find_repeated_crashes(kind, checker.workers)
    return checker


def _make_endpoints_crash(
    environment: SoakEnvironment, kinds: Sequence[RequestKind]
) -> None:
    """Lets all endpoints crash under requests of these kinds by the organisation."""
    contents = {make_content(kind) for kind in kinds}
    environment.fleet.crash_s = CRASH_S
    for endpoint in environment.fleet.endpoint_by_id.values():
        endpoint.worker.crashing_contents = contents
    environment.key_by_other_organisation[OTHER_ORGANISATION] = OTHER_KEY
    environment.change_keys(environment.keys)


def make_content(kind: RequestKind) -> RequestContent:
    """Returns what all requests of a kind by the organisation have in common."""
    return RequestContent("POST", kind.path, ORGANISATION, kind.body)


def _send_sound(
    checker: InvariantChecker, bad: RequestKind, counts: SoundRequests, number: int
) -> Iterator[Coroutine[Any, Any, None]]:
    """Returns what two callers do that share all but one of the bad one's traits."""
    kinds = (
        attrs.evolve(bad, body=SOUND_BODY),
        attrs.evolve(bad, path=f"{bad.path}/other"),
    )
    same_caller = Caller(checker.environment, f"c{bad.path}{number}")
    yield send_requests(checker, same_caller, kinds, counts.record, _draw_sound_headers)
    other_caller = Caller(checker.environment, f"o{bad.path}{number}")
    yield send_requests(
        checker, other_caller, (bad,), counts.record, _make_bad_headers, OTHER_KEY
    )


def _make_bad_headers(_: random.Random, kind: RequestKind) -> Mapping[str, str]:
    return _make_headers(kind, "own-bad")


def _draw_sound_headers(chooser: random.Random, kind: RequestKind) -> Mapping[str, str]:
    return _make_headers(kind, draw_own_part(chooser))


def _make_headers(kind: RequestKind, own_part: str) -> Mapping[str, str]:
    """Returns the header of a prompt's parts, all but one of which are shared."""
    return make_part_headers(*SHARED_PARTS, own_part) if kind.tokens else NO_HEADERS


async def _send_bad(kind: RequestKind, callers: Sequence[Caller]) -> None:
    """Sends the bad request again and again, until cancelled."""
    chooser, key = callers[0].chooser, callers[0].environment.keys[0]
    headers = _make_bad_headers(chooser, kind)
    while True:
        await asyncio.sleep(chooser.expovariate(1 / BAD_PAUSE_S))
        sent = callers[: chooser.choice(SIMULTANEOUS)]
        with contextlib.ExitStack() as stack:
            for caller in sent:
                stack.enter_context(contextlib.closing(caller))
            await asyncio.gather(*(caller.send(kind, key, headers) for caller in sent))


def find_repeated_crashes(kind: RequestKind, workers: Sequence[Worker]) -> list[str]:
    """Returns a line if a bad request reached endpoints after it had crashed enough."""
    content = make_content(kind)
    crashes = [worker.crash for worker in workers if worker.crash]
    crashed_at = sorted(item.at for item in crashes if item.content == content)
    arrivals = [
        arrival
        for worker in workers
        for arrival in worker.arrivals
        if arrival.content == content
    ]
    print(f"{len(crashed_at)} endpoints crashed under {kind.path}")
    name = f"the content of {kind.path}"
    return find_later_requests(name, crashed_at, CRASHES, arrivals)
