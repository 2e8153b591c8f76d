"""Turns what was chosen into placements with the runs that they bring."""

from __future__ import annotations

from cicadacourse.load import Assignment, Role
from cicadacourse.placement._cost import EngineChoice
from cicadacourse.placement._model import Candidate, Placement, PlacementRequest
from cicadacourse.util.clock import now


def place_call(chosen: Candidate) -> Placement:
    """Returns the placement of a call."""
    run = Assignment(chosen.endpoint.id, Role.CALL, started=now())
    return Placement(chosen.endpoint, (), (run,), load=chosen.load)


def place_prompt(need: PlacementRequest, choice: EngineChoice) -> Placement:
    """Returns the placement of a prompt: one run for each of its engines."""
    at = now()
    held_by_id = {plan.endpoint.id: plan.tokens for plan in choice.reservation_plans}
    writer = Assignment(
        choice.decode_engine.endpoint.id,
        Role.DECODE,
        started=at,
        context_tokens=need.context_tokens - sum(held_by_id.values()),
        prefill_s=choice.prefill_s,
        gap_s=need.gap_s,
    )
    parts = tuple(
        Assignment(
            item.endpoint.id,
            Role.PREFILL,
            started=at,
            context_tokens=held_by_id.get(item.endpoint.id, 0),
            prefill_s=choice.prefill_s,
        )
        for item in choice.helpers
    )
    return Placement(
        endpoint=choice.decode_engine.endpoint,
        helpers=tuple(item.endpoint for item in choice.helpers),
        assignments=(writer, *parts),
        expected_first_event_s=choice.first_event_s,
        load=choice.decode_engine.load,
        reservation_plans=choice.reservation_plans,
    )
