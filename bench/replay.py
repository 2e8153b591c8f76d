"""Replays load shapes against engines of the product's time model, on a paused clock.

Several instances place prompts as in the product, each with its own book of runs, and
hear of the others' runs a few milliseconds later. No sockets are involved, so a minute
of load takes a second and has the same result each time.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from typing import Callable, Sequence

import attrs
import looptime

from cicadacourse.catalog import Endpoint
from cicadacourse.load import Assignment, LoadTable
from cicadacourse.placement import (
    CONTENTION_WINDOW_S,
    Candidate,
    EngineChoice,
    PlacementRequest,
    WaitQueue,
    admit_prompt,
    choose_best_engines,
    choose_engines,
    is_long,
    must_yield,
    place_prompt,
)
from cicadacourse.util import hashing
from cicadacourse.util.clock import now
from standins.platform import PROFILE, Engine, EngineRefusal

INSTANCES = 7
ENGINES = 18
HEARING_DELAY_S = 0.008
RECHECK_S = (0.02, 0.06)
WAIT_S = 6.0
TIME_LEFT_S = 12.0
HOLD_S = 20.0
CONFIRMS = True
TELLS_READ = True


@attrs.frozen
class PromptKind:
    """One kind of prompt of a shape.

    :param tokens: mean tokens of the prompt; sizes spread log-normally around it.
    :param spread: sigma of the logarithm of the sizes.
    :param max_tokens: the longest prompt.
    :param output_tokens: tokens written.
    :param target_s: the objective for the first event.
    :param gap_s: the longest pause that is in time.
    """

    name: str
    tokens: int
    spread: float
    max_tokens: int
    output_tokens: int
    target_s: float
    gap_s: float


SHORT = PromptKind("short", 4960, 0.9, 23_800, 1600, 0.3, 0.2)
MEDIUM = PromptKind("medium", 45_000, 0.5, 110_000, 960, 1.5, 0.5)
LONG = PromptKind("long", 210_000, 0.55, 1_000_000, 800, 3.0, 0.8)


@attrs.frozen
class Shape:
    """Requests a second of each kind, for some seconds."""

    name: str
    seconds: float
    rate_by_kind: tuple[tuple[PromptKind, float], ...]


CALM = Shape("calm", 12.0, ((SHORT, 19.8), (MEDIUM, 1.44), (LONG, 0.595)))
BURST = Shape("burst", 10.0, ((SHORT, 50.0), (MEDIUM, 0.7), (LONG, 0.03)))
LONG_PROMPTS = Shape("long-prompts", 12.0, ((SHORT, 6.5), (MEDIUM, 1.9), (LONG, 1.7)))
# Half as much again as the engines can read, and then what is left of it.
OVERLOAD = Shape("overload", 5.0, ((SHORT, 10.0), (MEDIUM, 1.5), (LONG, 8.0)))
SHAPES = (CALM, BURST, LONG_PROMPTS, OVERLOAD)

Policy = Callable[[PlacementRequest, Sequence[Candidate]], EngineChoice | None]


def place_by_default(
    need: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Places as the product does."""
    return admit_prompt(need, PROFILE, candidates)


def place_at_once(
    need: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Places as the product does, but no long prompt waits for better places."""
    return choose_best_engines(need, PROFILE, candidates)


def place_unspread(
    need: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Packs as the product does, without helpers: each prompt on one engine."""
    choice = choose_engines(attrs.evolve(need, prompt_tokens=1), PROFILE, candidates)
    return None if choice is None else _alone(need, choice.decode_engine)


def place_by_least_requests(
    need: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Places on the engine with the fewest requests, without helpers."""
    free = [item for item in candidates if item.has_slot]
    if not free:
        return None
    return _alone(need, min(free, key=lambda item: item.load.decode_streams))


def _alone(need: PlacementRequest, writer: Candidate) -> EngineChoice:
    return EngineChoice(writer, (), PROFILE.prefill_s(need.prompt_tokens), 0.0)


POLICIES: dict[str, Policy] = {
    "least-requests": place_by_least_requests,
    "packed": place_unspread,
    "at-once": place_at_once,
    "default": place_by_default,
}


@attrs.frozen
class Outcome:
    """How one prompt fared; times in seconds, infinite if it was not served."""

    kind: str
    first_event_s: float
    longest_gap_s: float
    is_in_time: bool


@attrs.frozen
class Result:
    """How all prompts of a replay fared."""

    outcomes: tuple[Outcome, ...]

    def share_in_time(self, kind: str) -> float:
        """Returns the share of a kind's prompts that were in time."""
        own = [item.is_in_time for item in self.outcomes if item.kind == kind]
        return sum(own) / len(own) if own else 1.0


@attrs.frozen
class _Placed:
    """A choice of engines with its runs, noted in an instance's book."""

    choice: EngineChoice
    runs: list[Assignment]
    numbers: list[int]


class _World:
    """Engines, and what each instance believes to be in progress on them."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self.random = random.Random(seed)
        self.recheck_random = random.Random(seed)
        self.policy = policy
        self.books = [LoadTable() for _ in range(INSTANCES)]
        self.queues = [WaitQueue() for _ in range(INSTANCES)]
        self.outcomes: list[Outcome] = []
        self.engine_by_id = {
            f"e{n:02}": Engine(PROFILE, f"e{n:02}") for n in range(ENGINES)
        }
        self.endpoints = [
            Endpoint(name, "engines", f"{name}:1", f"d{index % 3}", PROFILE.slots)
            for index, name in enumerate(self.engine_by_id)
        ]

    async def serve(self, kind: PromptKind, number: int) -> None:
        """Places one prompt, runs it and notes how it fared."""
        tokens = self._draw_tokens(kind)
        arrived = now()
        instance = number % INSTANCES
        need = PlacementRequest(
            str(number),
            "engines",
            1,
            kind.target_s,
            WAIT_S,
            TIME_LEFT_S,
            tokens,
            kind.output_tokens,
            kind.gap_s,
        )
        placed = await self._place(need, instance)
        if placed is None:
            self.outcomes.append(Outcome(kind.name, float("inf"), 0.0, False))
            return
        try:
            await self._run(kind, need, placed, arrived, instance)
        finally:
            self._forget(instance, placed.numbers)

    async def _place(self, need: PlacementRequest, instance: int) -> _Placed | None:
        """Returns a place, or None if there was none in time."""
        queue = self.queues[instance]
        waiter = queue.make_waiter(need, PROFILE, now())
        queue.add(waiter)
        try:
            while (left := waiter.request_at(now())).wait_s:
                if queue.is_next(waiter):
                    choice = self.policy(left, self._candidates(instance))
                    if choice is not None:
                        noted = await self._confirm(left, choice, instance)
                        if noted is not None:
                            return noted
                await asyncio.sleep(self.recheck_random.uniform(*RECHECK_S))
        finally:
            queue.remove(waiter)
        return None

    async def _confirm(
        self, need: PlacementRequest, choice: EngineChoice, instance: int
    ) -> _Placed | None:
        """Notes the runs of a choice, unless it must give way to another's."""
        book = self.books[instance]
        runs = list(place_prompt(need, choice).assignments)
        numbers = [book.add(run) for run in runs]
        self._tell(instance)
        if CONFIRMS and is_long(need, PROFILE):
            await asyncio.sleep(CONTENTION_WINDOW_S)
            if must_yield(str(instance), runs, book, now()):
                self._forget(instance, numbers)
                return None
        return _Placed(choice, runs, numbers)

    def _forget(self, instance: int, numbers: Sequence[int]) -> None:
        for number in numbers:
            self.books[instance].remove(number)
        self._tell(instance)

    async def _run(
        self,
        kind: PromptKind,
        need: PlacementRequest,
        placed: _Placed,
        arrived: float,
        instance: int,
    ) -> None:
        choice = placed.choice
        engine = self.engine_by_id[choice.decode_engine.endpoint.id]
        tickets = {plan.endpoint.id: plan.tokens for plan in choice.reservation_plans}
        helpers = []
        for item in choice.helpers:
            helper = self.engine_by_id[item.endpoint.id]
            ticket = need.request_id if item.endpoint.id in tickets else None
            if ticket:
                helper.reserve(ticket, tickets[item.endpoint.id], HOLD_S)
            helpers.append((helper, ticket))
        times = []
        try:
            async for _ in engine.run(need.prompt_tokens, need.output_tokens, helpers):
                times.append(now())
                self._note_writing(placed.runs, instance)
        except EngineRefusal:
            times = []
        finally:
            for helper, ticket in helpers:
                if ticket:
                    helper.release(ticket)
        self.outcomes.append(_outcome(kind, arrived, times))

    def _candidates(self, instance: int) -> list[Candidate]:
        book = self.books[instance]
        at = now()
        return [
            Candidate(
                item,
                book.load_of(item.id, at),
                item.failure_domain == f"d{instance % 3}",
                hashing.score(str(instance), item.id),
            )
            for item in self.endpoints
        ]

    def _tell(self, instance: int) -> None:
        """Lets the other instances hear of one's runs after a delay."""
        runs = [
            attrs.evolve(run, is_remote=True)
            for run in self.books[instance].own_assignments()
        ]
        loop = asyncio.get_running_loop()
        for other, book in enumerate(self.books):
            if other != instance:
                loop.call_later(
                    HEARING_DELAY_S,
                    book.replace_remote_assignments,
                    str(instance),
                    runs,
                )

    def _note_writing(self, runs: Sequence[Assignment], instance: int) -> None:
        """Notes that a prompt is read; the others hear at once if it was spread."""
        if runs[0].is_prefilled:
            return
        for run in runs:
            run.is_prefilled = True
        if len(runs) > 1 and TELLS_READ:
            self._tell(instance)

    def _draw_tokens(self, kind: PromptKind) -> int:
        mu_shift = kind.spread**2 / 2
        factor = self.random.lognormvariate(-mu_shift, kind.spread)
        return max(100, min(kind.max_tokens, int(kind.tokens * factor)))


def replay(shape: Shape, policy: Policy, seed: int) -> Result:
    """Plays one shape under one policy and returns how all prompts fared."""
    loop = looptime.patch_event_loop(asyncio.new_event_loop())
    try:
        return loop.run_until_complete(_play(shape, policy, seed))
    finally:
        _cancel_rest(loop)
        loop.close()


def _cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    """Ends engines that still read for requests that have ended."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))


async def _play(shape: Shape, policy: Policy, seed: int) -> Result:
    world = _World(policy, seed)
    arrivals = sorted(
        (at, index, kind)
        for index, (kind, rate) in enumerate(shape.rate_by_kind)
        for at in _arrivals(world.random, rate, shape.seconds)
    )
    started = now()
    tasks = []
    for number, (at, _, kind) in enumerate(arrivals):
        await asyncio.sleep(max(0.0, started + at - now()))
        tasks.append(asyncio.create_task(world.serve(kind, number)))
    await asyncio.gather(*tasks)
    return Result(tuple(world.outcomes))


def _arrivals(chooser: random.Random, rate: float, seconds: float) -> list[float]:
    times = []
    at = chooser.expovariate(rate)
    while at < seconds:
        times.append(at)
        at += chooser.expovariate(rate)
    return times


def _outcome(kind: PromptKind, arrived: float, times: Sequence[float]) -> Outcome:
    if not times:
        return Outcome(kind.name, float("inf"), 0.0, False)
    first_s = times[0] - arrived
    gaps = [later - earlier for earlier, later in zip(times, times[1:])]
    longest_s = max(gaps, default=0.0)
    in_time = first_s <= kind.target_s and longest_s <= kind.gap_s
    return Outcome(kind.name, first_s, longest_s, in_time)


def main() -> None:
    """Prints the share in time by shape, policy and kind."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="seed of the load")
    seed = parser.parse_args().seed
    print(f"{'shape':14}{'policy':16}{'short':>8}{'medium':>8}{'long':>8}")
    for shape in SHAPES:
        for name, policy in POLICIES.items():
            result = replay(shape, policy, seed)
            shares = [
                result.share_in_time(kind) for kind in ("short", "medium", "long")
            ]
            print(f"{shape.name:14}{name:16}" + "".join(f"{s:8.3f}" for s in shares))


if __name__ == "__main__":
    main()
