"""Chooses the decode engine of a prompt and the helpers that share its prefill.

The expected load is many short prompts whose streams tolerate only short inter-token
gaps, and a few prompts whose prefill takes one engine seconds. Streams are packed on
few engines, since one more decoding stream hardly slows a step. The prefill of a long
prompt is split over the engines without streams, where it delays no tokens. In a burst
of short prompts, streams occupy more engines, and the prefill of long prompts is split
into more and smaller parts.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._cost import (
    EngineChoice,
    SplitCosts,
    allowed_prefill_s,
    estimate_cost,
    estimate_first_event_s,
)
from cicadacourse.placement._model import Candidate, PlacementRequest, ReservationPlan

# The protocol allows at most this many helpers for one prompt.
MAX_HELPERS = 16
# The prefill of a prompt is split only if it takes one engine at least this long.
MIN_SPLIT_PREFILL_S = 0.06
# Share of the latency objective that the estimated time to the first event may use. The
# rest covers network delays and lost packets.
OBJECTIVE_SHARE = 0.6
# Streams whose longest tolerable inter-token gap is at most this are packed on engines
# of their own.
SHORT_GAP_S = 0.25
# Decode engines compared for one long prompt, to bound the cost of a choice.
MAX_DECODE_CANDIDATES = 4
# Slots of an engine that are used last, as other instances may be placing requests
# there that are not reported here yet.
SPARE_SLOTS = 1
# Prefill backlog that an engine may have when it gets part of a long prompt. An engine
# prefills the newest part first, so the part would delay a longer backlog.
MAX_START_BACKLOG_S = 0.05


def choose_engines(
    request: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns the engines for a prompt, or None if it has to wait."""
    decode_engines = [
        item for item in candidates if has_capacity(request, profile, item)
    ]
    if not decode_engines:
        return None
    if not is_long(request, profile):
        return _choose_packed(request, profile, decode_engines)
    decode_engines = select_open_engines(decode_engines)
    if not decode_engines:
        return None
    return _choose_split(
        request, profile, decode_engines, select_open_engines(candidates)
    )


def is_long(request: PlacementRequest, profile: EngineProfile) -> bool:
    """Returns whether the prefill of a prompt is long enough to be split."""
    return profile.prefill_s(request.prompt_tokens) >= MIN_SPLIT_PREFILL_S


def select_open_engines(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the engines that can start another part soon without delaying a prompt.

    An engine prefills parts of other engines' prompts before its own prompts, so each
    part would delay a prompt of the engine's own that is not yet prefilled.
    """
    return [
        item
        for item in candidates
        if item.load.backlog_s <= MAX_START_BACKLOG_S
        and not item.load.streams_awaiting_prefill
    ]


def has_capacity(
    request: PlacementRequest, profile: EngineProfile, candidate: Candidate
) -> bool:
    """Returns whether an engine can take a whole request.

    It needs a connection, a free slot and free KV cache.
    """
    needed_tokens = candidate.load.context_tokens + request.context_tokens
    return (
        candidate.has_connection
        and candidate.load.decode_streams < profile.slots
        and needed_tokens <= profile.kv_tokens
    )


def _choose_packed(
    request: PlacementRequest,
    profile: EngineProfile,
    decode_engines: Sequence[Candidate],
) -> EngineChoice:
    """Packs a short prompt with other streams unless that makes any of them late.

    If no engine is in time, the one with the earliest first event is chosen.
    """
    prefill_s = profile.prefill_s(request.prompt_tokens)
    choices = [
        _make_unsplit_choice(profile, item, prefill_s) for item in decode_engines
    ]
    timely = [
        item
        for item in choices
        if item.first_event_s <= OBJECTIVE_SHARE * request.target_s
        and prefill_s <= allowed_prefill_s(profile, item.decode_engine)
    ]
    if timely:
        return min(
            timely, key=lambda item: _packing_rank(request, profile, item.decode_engine)
        )
    return min(
        choices, key=lambda item: (item.first_event_s, item.decode_engine.tie_break)
    )


def _make_unsplit_choice(
    profile: EngineProfile, decode_engine: Candidate, prefill_s: float
) -> EngineChoice:
    first_event_s = estimate_first_event_s(profile, decode_engine, prefill_s)
    return EngineChoice(decode_engine, (), prefill_s, first_event_s)


def _choose_split(
    request: PlacementRequest,
    profile: EngineProfile,
    decode_engines: Sequence[Candidate],
    candidates: Sequence[Candidate],
) -> EngineChoice:
    """Returns the split of a long prompt's prefill with the lowest estimated cost."""
    ranked = sorted(
        decode_engines,
        key=lambda item: _packing_rank(request, profile, item),
    )
    helpers = [
        item
        for item in candidates
        if item.may_help and item.load.helper_prefills < profile.slots
    ]
    helpers.sort(key=lambda item: (-allowed_prefill_s(profile, item), item.tie_break))
    # Of these, one may be the decode engine.
    helpers = helpers[: MAX_HELPERS + 1]
    choices = [
        choose_helpers(
            request,
            profile,
            decode_engine,
            [],
            [item for item in helpers if item is not decode_engine],
        )
        for decode_engine in ranked[:MAX_DECODE_CANDIDATES]
    ]
    return min(choices, key=lambda choice: estimate_cost(request, profile, choice))


def choose_helpers(
    request: PlacementRequest,
    profile: EngineProfile,
    decode_engine: Candidate,
    required_helpers: Sequence[Candidate],
    optional_helpers: Sequence[Candidate],
    reservation_plans: tuple[ReservationPlan, ...] = (),
) -> EngineChoice:
    """Returns the choice with the number of helpers that costs least.

    :param required_helpers: engines that must help, as they hold reserved KV cache.
    :param optional_helpers: engines that may help, the most suitable first.
    :param reservation_plans: the KV cache to reserve on the required helpers.
    """
    most = min(MAX_HELPERS - len(required_helpers), len(optional_helpers))
    helpers = (*required_helpers, *optional_helpers[:most])
    costs = SplitCosts.estimate(request, profile, (decode_engine, *helpers))
    count = min(
        range(len(required_helpers), len(helpers) + 1),
        key=lambda number: costs.cost(1 + number),
    )
    return EngineChoice(
        decode_engine,
        helpers[:count],
        costs.prefill_s(1 + count),
        costs.first_event_s(1 + count),
        reservation_plans,
    )


def _packing_rank(
    request: PlacementRequest, profile: EngineProfile, candidate: Candidate
) -> tuple[bool, int, int, int]:
    """Returns the rank of an engine for packing; the lowest is preferred.

    Engines of the own failure domain precede all others. Within both groups, those
    whose streams tolerate similar inter-token gaps precede idle engines and these all
    others, each with the most streams first. Engines with at most ``SPARE_SLOTS`` free
    slots come last in their group: another instance may be placing a request there that
    is not reported yet.
    """
    has_short_gap = request.gap_s <= SHORT_GAP_S
    gap_s = candidate.load.shortest_gap_s
    if gap_s is None:
        gap_rank = 1
    elif (gap_s <= SHORT_GAP_S) == has_short_gap:
        gap_rank = 0
    else:
        gap_rank = 2
    if candidate.load.decode_streams >= profile.slots - SPARE_SLOTS:
        gap_rank = 3
    domain_rank = not candidate.is_same_domain
    return (domain_rank, gap_rank, -candidate.load.decode_streams, candidate.tie_break)
