"""Chooses engines for a prompt that no single engine has the memory for.

Load answered: prompts of up to a million tokens beside a fleet whose engines hold less
than half of that each. The engine that writes keeps what it has room for; the rest is
reserved on as few others as possible, and all of them read parts.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._cost import EngineChoice, allowed_read_s
from cicadacourse.placement._engines import (
    MAX_HELPERS,
    can_write,
    open_for_parts,
    spread_over,
)
from cicadacourse.placement._model import Candidate, PlacementRequest, ReservationPlan

# Engines keep memory in blocks of this many tokens.
BLOCK_TOKENS = 16
# Of what seems free; what others are about to use is not known exactly.
ROOM_SHARE = 0.92
# Smaller prompts wait for an engine with room instead.
MIN_PROMPT_TOKENS = 100_000


def choose_with_reservations(
    need: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns engines with tickets, or None if the fleet has no room for the prompt."""
    if need.prompt_tokens < MIN_PROMPT_TOKENS:
        return None
    if any(can_write(need, profile, item) for item in candidates):
        return None
    candidates = open_for_parts(candidates)
    with_slot = [
        item for item in candidates if item.load.decode_streams < profile.slots
    ]
    if not with_slot:
        return None
    writer = max(with_slot, key=lambda item: _writer_rank(profile, item))
    rest = need.context_tokens - _room(profile, writer)
    others = [
        item
        for item in candidates
        if item is not writer and item.load.helper_prefills < profile.slots
    ]
    plans = _plan_tickets(profile, others, rest)
    if plans is None:
        return None
    holders = [item for item in others if _is_holder(item, plans)]
    readers = [item for item in others if not _is_holder(item, plans)]
    readers.sort(key=lambda item: (-allowed_read_s(profile, item), item.tie_break))
    return spread_over(need, profile, writer, holders, readers, tuple(plans))


def _plan_tickets(
    profile: EngineProfile, others: Sequence[Candidate], rest: int
) -> list[ReservationPlan] | None:
    """Returns tickets for a number of tokens on the engines with most room."""
    plans = []
    by_room = sorted(others, key=lambda item: (-_room(profile, item), item.tie_break))
    for item in by_room[:MAX_HELPERS]:
        if rest <= 0:
            break
        tokens = min(_room(profile, item), _in_blocks(rest))
        if tokens <= 0:
            break
        plans.append(ReservationPlan(item.endpoint, tokens))
        rest -= tokens
    return plans if rest <= 0 else None


def _room(profile: EngineProfile, candidate: Candidate) -> int:
    """Returns the tokens that an engine has memory for, in whole blocks."""
    free = profile.kv_tokens - candidate.load.context_tokens
    return max(0, int(ROOM_SHARE * free)) // BLOCK_TOKENS * BLOCK_TOKENS


def _in_blocks(tokens: int) -> int:
    return (tokens // BLOCK_TOKENS + 1) * BLOCK_TOKENS


def _writer_rank(profile: EngineProfile, candidate: Candidate) -> tuple[float, int]:
    """Ranks engines with much room and little reading to do first."""
    wait_share = min(1.0, candidate.load.backlog_s)
    room_share = _room(profile, candidate) / profile.kv_tokens
    return (room_share - wait_share, candidate.tie_break)


def _is_holder(candidate: Candidate, plans: Sequence[ReservationPlan]) -> bool:
    return any(plan.endpoint.id == candidate.endpoint.id for plan in plans)
