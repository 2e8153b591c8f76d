"""Builds placements, with their assignments, from chosen endpoints."""

from __future__ import annotations

from cicadacourse.load import Assignment, Role
from cicadacourse.placement._cost import EngineChoice
from cicadacourse.placement._model import Candidate, Placement, PlacementRequest
from cicadacourse.util.clock import now


def place_call(chosen: Candidate) -> Placement:
    """Returns the placement of a call on an endpoint."""
    assignment = Assignment(chosen.endpoint.id, Role.CALL, started=now())
    return Placement(chosen.endpoint, (), (assignment,), load=chosen.load)


def place_prompt(request: PlacementRequest, choice: EngineChoice) -> Placement:
    """Returns the placement of a prompt, with an assignment for each engine."""
    now_s = now()
    reserved_by_id = {
        plan.endpoint.id: plan.tokens for plan in choice.reservation_plans
    }
    decode = Assignment(
        choice.decode_engine.endpoint.id,
        Role.DECODE,
        started=now_s,
        context_tokens=request.context_tokens - sum(reserved_by_id.values()),
        prefill_s=choice.prefill_s,
        gap_s=request.gap_s,
    )
    prefills = tuple(
        Assignment(
            item.endpoint.id,
            Role.PREFILL,
            started=now_s,
            context_tokens=reserved_by_id.get(item.endpoint.id, 0),
            prefill_s=choice.prefill_s,
        )
        for item in choice.helpers
    )
    return Placement(
        endpoint=choice.decode_engine.endpoint,
        helpers=tuple(item.endpoint for item in choice.helpers),
        assignments=(decode, *prefills),
        expected_first_event_s=choice.first_event_s,
        load=choice.decode_engine.load,
        reservation_plans=choice.reservation_plans,
    )
