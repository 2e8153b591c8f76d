"""Policies that choose the engines of a prompt, by their names."""

from __future__ import annotations

from typing import Callable, Sequence

import attrs

from cicadacourse.placement import (
    Candidate,
    EngineChoice,
    PlacementRequest,
    admit_prompt,
    choose_best_engines,
    choose_engines,
)
from standins.platform import PROFILE

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
