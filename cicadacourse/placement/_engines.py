"""Chooses the engine that writes a stream and those that read its prompt along.

Load answered: many short prompts whose streams bear only short pauses, beside few
prompts that take an engine seconds to read. Streams are packed on few engines, since a
further writer hardly slows a step, and long prompts are read in parts by the engines
without writers, where they make no stream pause. In a burst of short prompts the packed
engines spread over the fleet, and more engines read smaller parts of long prompts.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._cost import (
    EngineChoice,
    allowed_read_s,
    estimate_first_event_s,
    spread_cost,
)
from cicadacourse.placement._model import Candidate, PlacementRequest, ReservationPlan

# The protocol's limit on the engines that read along.
MAX_HELPERS = 16
# A prompt that one engine reads faster is not spread.
SPREAD_FROM_S = 0.06
# Of the objective; the rest is for delays of the network and lost packets.
TARGET_SHARE = 0.6
# Streams that bear no longer pauses are packed apart from the others.
TIGHT_GAP_S = 0.25
# Bounds the work of a choice: writing engines that are weighed for one prompt.
MAX_FIRST_ENGINES = 4
# Slots left free for requests of other instances that are not yet known of here.
SPARE_SLOTS = 1
# Reading that may be left on an engine when a part of a long prompt is put there. An
# engine reads the newest part first, so more would put off what it reads already.
START_BACKLOG_S = 0.05


def choose_engines(
    need: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns the engines for a prompt, or None if it must wait for one."""
    writers = [item for item in candidates if can_write(need, profile, item)]
    if not writers:
        return None
    if not is_long(need, profile):
        return _choose_single(need, profile, writers)
    writers = open_for_parts(writers)
    if not writers:
        return None
    return _choose_spread(need, profile, writers, open_for_parts(candidates))


def is_long(need: PlacementRequest, profile: EngineProfile) -> bool:
    """Returns whether a prompt takes an engine so long that it is read in parts."""
    return profile.prefill_s(need.prompt_tokens) >= SPREAD_FROM_S


def open_for_parts(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the engines that would soon read a further part and delay no prompt.

    An engine reads parts of others' prompts before its own prompts, so one whose own
    prompt is unread would put it off with each part that it is given.
    """
    return [
        item
        for item in candidates
        if item.load.backlog_s <= START_BACKLOG_S
        and not item.load.streams_awaiting_prefill
    ]


def can_write(
    need: PlacementRequest, profile: EngineProfile, candidate: Candidate
) -> bool:
    """Returns whether an engine has a slot and memory for a whole prompt."""
    held = candidate.load.context_tokens + need.context_tokens
    return candidate.load.decode_streams < profile.slots and held <= profile.kv_tokens


def _choose_single(
    need: PlacementRequest, profile: EngineProfile, writers: Sequence[Candidate]
) -> EngineChoice:
    """Packs a short prompt with others unless that would make someone late."""
    read_s = profile.prefill_s(need.prompt_tokens)
    choices = [_single(profile, item, read_s) for item in writers]
    timely = [
        item
        for item in choices
        if item.first_event_s <= TARGET_SHARE * need.target_s
        and read_s <= allowed_read_s(profile, item.decode_engine)
    ]
    if timely:
        return min(
            timely, key=lambda item: _packing_rank(need, profile, item.decode_engine)
        )
    return min(
        choices, key=lambda item: (item.first_event_s, item.decode_engine.tie_break)
    )


def _single(profile: EngineProfile, writer: Candidate, read_s: float) -> EngineChoice:
    first_event_s = estimate_first_event_s(profile, writer, read_s)
    return EngineChoice(writer, (), read_s, first_event_s)


def _choose_spread(
    need: PlacementRequest,
    profile: EngineProfile,
    writers: Sequence[Candidate],
    candidates: Sequence[Candidate],
) -> EngineChoice:
    """Spreads a long prompt so that it is read soonest without making others late."""
    firsts = sorted(
        writers,
        key=lambda item: _packing_rank(need, profile, item),
    )
    choices = [
        _spread_from(need, profile, first, candidates)
        for first in firsts[:MAX_FIRST_ENGINES]
    ]
    return min(choices, key=lambda choice: spread_cost(need, profile, choice))


def _spread_from(
    need: PlacementRequest,
    profile: EngineProfile,
    first: Candidate,
    candidates: Sequence[Candidate],
) -> EngineChoice:
    """Returns the best number of helpers for one writing engine."""
    others = [
        item
        for item in candidates
        if item is not first and item.load.helper_prefills < profile.slots
    ]
    others.sort(key=lambda item: (-allowed_read_s(profile, item), item.tie_break))
    return spread_over(need, profile, first, [], others)


def spread_over(
    need: PlacementRequest,
    profile: EngineProfile,
    writer: Candidate,
    holders: Sequence[Candidate],
    readers: Sequence[Candidate],
    tickets: tuple[ReservationPlan, ...] = (),
) -> EngineChoice:
    """Returns the choice with the best number of readers beside the holders.

    :param holders: engines that must help, as they hold tickets.
    :param readers: engines that may help, the most suitable first.
    """
    whole_s = profile.prefill_s(need.prompt_tokens)
    choices = []
    for count in range(min(MAX_HELPERS - len(holders), len(readers)) + 1):
        helpers = (*holders, *readers[:count])
        part_s = whole_s / (1 + len(helpers))
        slowest_s = max(
            estimate_first_event_s(profile, item, part_s) for item in (writer, *helpers)
        )
        choices.append(EngineChoice(writer, helpers, part_s, slowest_s, tickets))
    return min(choices, key=lambda choice: spread_cost(need, profile, choice))


def _packing_rank(
    need: PlacementRequest, profile: EngineProfile, candidate: Candidate
) -> tuple[bool, int, int, int]:
    """Ranks near engines first, then those with most streams of the same kind.

    An engine's last slots are left free while others have room: another instance
    may be placing a request there that is not yet known of here.
    """
    is_tight = need.gap_s <= TIGHT_GAP_S
    gap_s = candidate.load.shortest_gap_s
    if gap_s is None:
        kind_rank = 1
    elif (gap_s <= TIGHT_GAP_S) == is_tight:
        kind_rank = 0
    else:
        kind_rank = 2
    if candidate.load.decode_streams >= profile.slots - SPARE_SLOTS:
        kind_rank = 3
    near_rank = not candidate.is_same_domain
    return (near_rank, kind_rank, -candidate.load.decode_streams, candidate.tie_break)
