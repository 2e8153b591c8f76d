"""Simulates load shapes against modelled engines on a simulated clock.

Several instances place prompts as the program does. Each has its own load table and
receives the assignments of the others a few milliseconds later. No sockets are used, so
a minute of load takes a second and gives the same result each time.
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
REPORT_DELAY_S = 0.008
RECHECK_RANGE_S = (0.02, 0.06)
MAX_WAIT_S = 6.0
TIME_LEFT_S = 12.0
RESERVATION_HOLD_S = 20.0
# Switched off, these show what the program gains from its contention check and from
# reporting the end of a split prompt's prefill at once.
CHECKS_CONTENTION = True
REPORTS_PREFILL_END = True


@attrs.frozen
class PromptKind:
    """One kind of prompt in a load shape.

    :param tokens: mean tokens of a prompt; the sizes are log-normally distributed.
    :param spread: standard deviation of the logarithm of the sizes.
    :param max_tokens: tokens of the longest prompt; larger draws are cut to it.
    :param output_tokens: tokens to decode.
    :param target_s: latency objective for the first event, in seconds.
    :param gap_s: objective for the longest inter-token gap, in seconds.
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
    """A load shape: the arrivals per second of each kind, for some seconds."""

    name: str
    seconds: float
    rate_by_kind: tuple[tuple[PromptKind, float], ...]


CALM = Shape("calm", 12.0, ((SHORT, 19.8), (MEDIUM, 1.44), (LONG, 0.595)))
BURST = Shape("burst", 10.0, ((SHORT, 50.0), (MEDIUM, 0.7), (LONG, 0.03)))
LONG_PROMPTS = Shape("long-prompts", 12.0, ((SHORT, 6.5), (MEDIUM, 1.9), (LONG, 1.7)))
# The load is 1.5 times what the engines can prefill; the backlog is then drained.
OVERLOAD = Shape("overload", 5.0, ((SHORT, 10.0), (MEDIUM, 1.5), (LONG, 8.0)))
SHAPES = (CALM, BURST, LONG_PROMPTS, OVERLOAD)

Policy = Callable[[PlacementRequest, Sequence[Candidate]], EngineChoice | None]


def place_by_default(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Places prompts as the program does."""
    return admit_prompt(request, PROFILE, candidates)


def place_at_once(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Places as the program does, but never queues a long prompt for better engines."""
    return choose_best_engines(request, PROFILE, candidates)


def place_without_helpers(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Chooses one engine for each prompt, as the program does for a short prompt."""
    choice = choose_engines(attrs.evolve(request, prompt_tokens=1), PROFILE, candidates)
    return (
        None
        if choice is None
        else _make_choice_without_helpers(request, choice.decode_engine)
    )


def place_by_least_requests(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Chooses the engine with the fewest decoding streams, without helpers."""
    free = [item for item in candidates if item.has_slot]
    if not free:
        return None
    return _make_choice_without_helpers(
        request, min(free, key=lambda item: item.load.decode_streams)
    )


def _make_choice_without_helpers(
    request: PlacementRequest, decode_engine: Candidate
) -> EngineChoice:
    return EngineChoice(
        decode_engine, (), PROFILE.prefill_s(request.prompt_tokens), 0.0
    )


POLICIES: dict[str, Policy] = {
    "least-requests": place_by_least_requests,
    "packed": place_without_helpers,
    "at-once": place_at_once,
    "default": place_by_default,
}


@attrs.frozen
class Outcome:
    """The latencies of one prompt.

    :param first_event_s: seconds from the arrival to the first event; infinite if the
        prompt was not served.
    :param longest_gap_s: the longest inter-token gap in seconds.
    :param is_in_time: whether both latency objectives were met.
    """

    kind: str
    first_event_s: float
    longest_gap_s: float
    is_in_time: bool


@attrs.frozen
class Result:
    """The outcomes of all prompts of a replay."""

    outcomes: tuple[Outcome, ...]

    def share_in_time(self, kind: str) -> float:
        """Returns the share of a kind's prompts that met both objectives."""
        own = [item.is_in_time for item in self.outcomes if item.kind == kind]
        return sum(own) / len(own) if own else 1.0


@attrs.frozen
class _PlacedPrompt:
    """A choice of engines and its assignments in an instance's load table."""

    choice: EngineChoice
    assignments: list[Assignment]
    assignment_ids: list[int]


class _Simulation:
    """The engines, and the load table and queue of each instance."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self.random = random.Random(seed)
        # Separate, so that the rechecks, whose number depends on the policy, do not
        # change the prompts.
        self.recheck_random = random.Random(seed)
        self.policy = policy
        self.load_tables = [LoadTable() for _ in range(INSTANCES)]
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
        """Places and runs one prompt and records its outcome."""
        tokens = self._draw_tokens(kind)
        arrived = now()
        instance = number % INSTANCES
        request = PlacementRequest(
            str(number),
            "engines",
            1,
            kind.target_s,
            MAX_WAIT_S,
            TIME_LEFT_S,
            tokens,
            kind.output_tokens,
            kind.gap_s,
        )
        placed = await self._place(request, instance)
        if placed is None:
            self.outcomes.append(Outcome(kind.name, float("inf"), 0.0, False))
            return
        try:
            await self._run(kind, request, placed, arrived, instance)
        finally:
            self._remove_assignments(instance, placed.assignment_ids)

    async def _place(
        self, request: PlacementRequest, instance: int
    ) -> _PlacedPrompt | None:
        """Queues and places a prompt; None if no engine was chosen in time."""
        queue = self.queues[instance]
        waiter = queue.make_waiter(request, PROFILE, now())
        queue.add(waiter)
        try:
            while (current := waiter.request_at(now())).wait_s:
                if queue.is_next(waiter):
                    choice = self.policy(current, self._candidates(instance))
                    if choice is not None:
                        placed = await self._confirm(current, choice, instance)
                        if placed is not None:
                            return placed
                await asyncio.sleep(self.recheck_random.uniform(*RECHECK_RANGE_S))
        finally:
            queue.remove(waiter)
        return None

    async def _confirm(
        self, request: PlacementRequest, choice: EngineChoice, instance: int
    ) -> _PlacedPrompt | None:
        """Adds the assignments of a choice; None if it yields to another instance."""
        load_table = self.load_tables[instance]
        assignments = list(place_prompt(request, choice).assignments)
        assignment_ids = [load_table.add(assignment) for assignment in assignments]
        self._send_report(instance)
        if CHECKS_CONTENTION and is_long(request, PROFILE):
            await asyncio.sleep(CONTENTION_WINDOW_S)
            if must_yield(str(instance), assignments, load_table, now()):
                self._remove_assignments(instance, assignment_ids)
                return None
        return _PlacedPrompt(choice, assignments, assignment_ids)

    def _remove_assignments(self, instance: int, assignment_ids: Sequence[int]) -> None:
        for assignment_id in assignment_ids:
            self.load_tables[instance].remove(assignment_id)
        self._send_report(instance)

    async def _run(
        self,
        kind: PromptKind,
        request: PlacementRequest,
        placed: _PlacedPrompt,
        arrived: float,
        instance: int,
    ) -> None:
        choice = placed.choice
        engine = self.engine_by_id[choice.decode_engine.endpoint.id]
        reserved_tokens_by_id = {
            plan.endpoint.id: plan.tokens for plan in choice.reservation_plans
        }
        helpers = []
        for item in choice.helpers:
            helper = self.engine_by_id[item.endpoint.id]
            reservation_id = (
                request.request_id
                if item.endpoint.id in reserved_tokens_by_id
                else None
            )
            if reservation_id:
                helper.reserve(
                    reservation_id,
                    reserved_tokens_by_id[item.endpoint.id],
                    RESERVATION_HOLD_S,
                )
            helpers.append((helper, reservation_id))
        times = []
        try:
            async for _ in engine.run(
                request.prompt_tokens, request.output_tokens, helpers
            ):
                times.append(now())
                self._record_prefill_end(placed.assignments, instance)
        except EngineRefusal:
            times = []
        finally:
            for helper, reservation_id in helpers:
                if reservation_id:
                    helper.release(reservation_id)
        self.outcomes.append(_make_outcome(kind, arrived, times))

    def _candidates(self, instance: int) -> list[Candidate]:
        load_table = self.load_tables[instance]
        now_s = now()
        return [
            Candidate(
                item,
                load_table.load_of(item.id, now_s),
                item.failure_domain == f"d{instance % 3}",
                hashing.score(str(instance), item.id),
            )
            for item in self.endpoints
        ]

    def _send_report(self, instance: int) -> None:
        """Reports an instance's assignments to the others after ``REPORT_DELAY_S``."""
        assignments = [
            attrs.evolve(assignment, is_remote=True)
            for assignment in self.load_tables[instance].own_assignments()
        ]
        loop = asyncio.get_running_loop()
        for other, load_table in enumerate(self.load_tables):
            if other != instance:
                loop.call_later(
                    REPORT_DELAY_S,
                    load_table.replace_remote_assignments,
                    str(instance),
                    assignments,
                )

    def _record_prefill_end(
        self, assignments: Sequence[Assignment], instance: int
    ) -> None:
        """Marks a prompt as prefilled; reports it at once if it had helpers."""
        if assignments[0].is_prefilled:
            return
        for assignment in assignments:
            assignment.is_prefilled = True
        if len(assignments) > 1 and REPORTS_PREFILL_END:
            self._send_report(instance)

    def _draw_tokens(self, kind: PromptKind) -> int:
        mu_shift = kind.spread**2 / 2
        factor = self.random.lognormvariate(-mu_shift, kind.spread)
        return max(100, min(kind.max_tokens, int(kind.tokens * factor)))


def replay(shape: Shape, policy: Policy, seed: int) -> Result:
    """Simulates one shape under one policy and returns the outcomes."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(_run_shape(shape, policy, seed))
    finally:
        _cancel_remaining(loop)
        loop.close()


def _cancel_remaining(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels engines that still prefill for requests that have ended."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))


async def _run_shape(shape: Shape, policy: Policy, seed: int) -> Result:
    simulation = _Simulation(policy, seed)
    arrivals = sorted(
        (arrival_s, index, kind)
        for index, (kind, rate) in enumerate(shape.rate_by_kind)
        for arrival_s in _draw_arrivals(simulation.random, rate, shape.seconds)
    )
    started = now()
    tasks = []
    for number, (arrival_s, _, kind) in enumerate(arrivals):
        await asyncio.sleep(max(0.0, started + arrival_s - now()))
        tasks.append(asyncio.create_task(simulation.serve(kind, number)))
    await asyncio.gather(*tasks)
    return Result(tuple(simulation.outcomes))


def _draw_arrivals(chooser: random.Random, rate: float, seconds: float) -> list[float]:
    arrivals = []
    arrival_s = chooser.expovariate(rate)
    while arrival_s < seconds:
        arrivals.append(arrival_s)
        arrival_s += chooser.expovariate(rate)
    return arrivals


def _make_outcome(kind: PromptKind, arrived: float, times: Sequence[float]) -> Outcome:
    if not times:
        return Outcome(kind.name, float("inf"), 0.0, False)
    first_s = times[0] - arrived
    gaps = [later - earlier for earlier, later in zip(times, times[1:])]
    longest_s = max(gaps, default=0.0)
    in_time = first_s <= kind.target_s and longest_s <= kind.gap_s
    return Outcome(kind.name, first_s, longest_s, in_time)


def main() -> None:
    """Prints the share of prompts in time by shape, policy and kind."""
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
