"""Instances that place prompts on modelled engines, each with its own load table."""

from __future__ import annotations

import asyncio
import random
from typing import Sequence

import attrs

from bench._outcomes import Outcome, make_outcome
from bench._policies import Policy
from bench._shapes import PromptKind
from cicadacourse.catalog import Endpoint
from cicadacourse.load import Assignment, LoadTable
from cicadacourse.placement import (
    CONTENTION_WINDOW_S,
    Candidate,
    EngineChoice,
    PlacementRequest,
    WaitQueue,
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
class _PlacedPrompt:
    """A choice of engines and its assignments in an instance's load table."""

    choice: EngineChoice
    assignments: list[Assignment]
    assignment_ids: list[int]


class Simulation:
    """The engines, and the load table and queue of each instance.

    :param seed: determines the prompts and the pauses between attempts to place them.
    :ivar random: draws the prompts.
    :ivar outcomes: those of the prompts that have ended, in that order.
    """

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
        tokens = kind.draw_tokens(self.random)
        arrived = now()
        instance = number % INSTANCES
        request = _make_request(kind, number, tokens)
        placed = await self._place(request, instance)
        if placed is None:
            self.outcomes.append(make_outcome(kind, arrived, ()))
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
        engine = self.engine_by_id[placed.choice.decode_engine.endpoint.id]
        helpers = self._reserve_helpers(request, placed.choice)
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
        self.outcomes.append(make_outcome(kind, arrived, times))

    def _reserve_helpers(
        self, request: PlacementRequest, choice: EngineChoice
    ) -> list[tuple[Engine, str | None]]:
        """Returns the helpers, each with the id of its reservation or None."""
        tokens_by_id = {
            plan.endpoint.id: plan.tokens for plan in choice.reservation_plans
        }
        helpers: list[tuple[Engine, str | None]] = []
        for item in choice.helpers:
            helper = self.engine_by_id[item.endpoint.id]
            tokens = tokens_by_id.get(item.endpoint.id)
            if tokens is None:
                helpers.append((helper, None))
                continue
            helper.reserve(request.request_id, tokens, RESERVATION_HOLD_S)
            helpers.append((helper, request.request_id))
        return helpers

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


def _make_request(kind: PromptKind, number: int, tokens: int) -> PlacementRequest:
    return PlacementRequest(
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
