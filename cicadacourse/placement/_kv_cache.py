"""Chooses engines for a prompt that exceeds the free KV cache of every single engine.

The expected load has prompts of up to a million tokens, while an engine's KV cache
holds less than half of that. The decode engine keeps as much as fits; the rest is
reserved on as few helpers as possible, and all of these prefill parts of the prompt.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._cost import EngineChoice, allowed_prefill_s
from cicadacourse.placement._engines import (
    MAX_HELPERS,
    choose_helpers,
    has_capacity,
    select_open_engines,
)
from cicadacourse.placement._model import Candidate, PlacementRequest, ReservationPlan

# Engines allocate KV cache in blocks of this many tokens.
BLOCK_TOKENS = 16
# Share of the free KV cache that may be reserved. Requests that other instances are
# placing at the moment are not known exactly.
USABLE_SHARE = 0.92
# Prompts with fewer tokens wait for an engine with enough free KV cache instead.
MIN_PROMPT_TOKENS = 100_000


def choose_with_reservations(
    request: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns engines with KV-cache reservations for a prompt.

    :returns: None if a single engine has the capacity, if the prompt is too short for
        reservations, or if the engines that can start now have no free slot or too
        little free KV cache together.
    """
    if request.prompt_tokens < MIN_PROMPT_TOKENS:
        return None
    if any(has_capacity(request, profile, item) for item in candidates):
        return None
    candidates = select_open_engines(candidates)
    with_free_slot = [
        item
        for item in candidates
        if item.has_connection and item.load.decode_streams < profile.slots
    ]
    if not with_free_slot:
        return None
    decode_engine = max(with_free_slot, key=lambda item: _decode_rank(profile, item))
    missing_tokens = request.context_tokens - _free_tokens(profile, decode_engine)
    others = [
        item
        for item in candidates
        if item is not decode_engine
        and item.may_help
        and item.load.helper_prefills < profile.slots
    ]
    plans = _plan_reservations(profile, others, missing_tokens)
    if plans is None:
        return None
    required_helpers = [item for item in others if _is_reserved(item, plans)]
    optional_helpers = [item for item in others if not _is_reserved(item, plans)]
    optional_helpers.sort(
        key=lambda item: (-allowed_prefill_s(profile, item), item.tie_break)
    )
    return choose_helpers(
        request,
        profile,
        decode_engine,
        required_helpers,
        optional_helpers,
        tuple(plans),
    )


def _plan_reservations(
    profile: EngineProfile, others: Sequence[Candidate], missing_tokens: int
) -> list[ReservationPlan] | None:
    """Returns reservations for the missing tokens, on engines with most free KV cache.

    :returns: None if these engines have too little together.
    """
    plans = []
    by_free_tokens = sorted(
        others, key=lambda item: (-_free_tokens(profile, item), item.tie_break)
    )
    for item in by_free_tokens[:MAX_HELPERS]:
        if missing_tokens <= 0:
            break
        tokens = min(_free_tokens(profile, item), _round_up_to_blocks(missing_tokens))
        if tokens <= 0:
            break
        plans.append(ReservationPlan(item.endpoint, tokens))
        missing_tokens -= tokens
    return plans if missing_tokens <= 0 else None


def _free_tokens(profile: EngineProfile, candidate: Candidate) -> int:
    """Returns the tokens that may be reserved on an engine, in whole blocks."""
    free = profile.kv_tokens - candidate.load.context_tokens
    return max(0, int(USABLE_SHARE * free)) // BLOCK_TOKENS * BLOCK_TOKENS


def _round_up_to_blocks(tokens: int) -> int:
    """Returns the next larger number of tokens that fills whole blocks."""
    return (tokens // BLOCK_TOKENS + 1) * BLOCK_TOKENS


def _decode_rank(profile: EngineProfile, candidate: Candidate) -> tuple[float, int]:
    """Returns a higher rank for more free KV cache and a shorter prefill backlog.

    A backlog of a second or more weighs as much as the whole KV cache. Among equals,
    the highest ``tie_break`` decides.
    """
    backlog_share = min(1.0, candidate.load.backlog_s)
    free_share = _free_tokens(profile, candidate) / profile.kv_tokens
    return (free_share - backlog_share, candidate.tie_break)


def _is_reserved(candidate: Candidate, plans: Sequence[ReservationPlan]) -> bool:
    return any(plan.endpoint.id == candidate.endpoint.id for plan in plans)
