"""What a choice of engines costs, in short streams that come late.

The load that it answers is the choosers' (:mod:`cicadacourse.placement._engines`).
"""

from __future__ import annotations

import attrs

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._model import Candidate, PlacementRequest, ReservationPlan

# What each helper costs, in short streams that come late.
HELPER_COST = 0.01
# A long prompt weighs as much as a short one for each such number of its tokens.
TOKENS_OF_A_SHORT_PROMPT = 12_500
# Shares of the objective up to which a prompt is surely in time, or surely late.
SAFE_TARGET_SHARE = 0.55
LATE_TARGET_SHARE = 0.9
# Weight of being early, against being in time.
HASTE_SHARE = 0.05
# Reading this much longer than a stream bears makes it late for sure.
SURE_HARM_S = 0.04
# How slowly a cost grows once its stream is surely late.
BEYOND_LATE_SHARE = 0.1
# Keeps shares of an objective finite once it has passed.
MIN_TARGET_S = 0.05
# Kept free of each pause, for delays of the network and errors of the model.
GAP_MARGIN_S = 0.03
# The longest reading that is put on an engine without streams at once.
MAX_IDLE_READ_S = 4.0


@attrs.frozen
class EngineChoice:
    """Engines for one prompt.

    :param decode_engine: reads its part and writes the answer.
    :param helpers: read equal parts.
    :param prefill_s: seconds of reading at each of them.
    :param first_event_s: estimated seconds to the first event.
    :param reservation_plans: memory to reserve on helpers, if the writer has too
        little.
    """

    decode_engine: Candidate
    helpers: tuple[Candidate, ...]
    prefill_s: float
    first_event_s: float
    reservation_plans: tuple[ReservationPlan, ...] = ()


def spread_cost(
    need: PlacementRequest, profile: EngineProfile, choice: EngineChoice
) -> float:
    """Returns the cost of a choice in short streams that come late.

    A long prompt counts as several short ones, by its tokens.
    """
    own_weight = weight_of(need)
    target_share = choice.first_event_s / max(need.target_s, MIN_TARGET_S)
    late = _ramp(target_share, SAFE_TARGET_SHARE, LATE_TARGET_SHARE)
    haste = HASTE_SHARE * target_share * own_weight
    helpers = HELPER_COST * len(choice.helpers)
    return late * own_weight + harm_of(profile, choice) + haste + helpers


def weight_of(need: PlacementRequest) -> float:
    """Returns what a request in time is worth, counted in short streams."""
    return 1 + need.prompt_tokens / TOKENS_OF_A_SHORT_PROMPT


def harm_of(profile: EngineProfile, choice: EngineChoice) -> float:
    """Returns how many streams a choice makes late, counted in short ones."""
    return sum(
        _ramp(choice.prefill_s - allowed_read_s(profile, item), 0.0, SURE_HARM_S)
        * _weight_of_streams(item)
        for item in (choice.decode_engine, *choice.helpers)
    )


def _ramp(value: float, low: float, high: float) -> float:
    """Returns 0 up to a low value and 1 from a high one, and beyond more slowly."""
    if value <= low:
        return 0.0
    if value >= high:
        return 1.0 + BEYOND_LATE_SHARE * (value - high)
    return (value - low) / (high - low)


def _weight_of_streams(candidate: Candidate) -> float:
    """Returns the weight of an engine's streams, counted in short ones."""
    load = candidate.load
    return load.decode_streams + load.context_tokens / TOKENS_OF_A_SHORT_PROMPT


def allowed_read_s(profile: EngineProfile, candidate: Candidate) -> float:
    """Returns how much reading an engine can take without making a stream late."""
    load = candidate.load
    if load.shortest_gap_s is None:
        return MAX_IDLE_READ_S - load.backlog_s
    pass_s = profile.pass_s(load.decode_streams, load.context_tokens)
    return load.shortest_gap_s - pass_s - load.backlog_s - GAP_MARGIN_S


def estimate_first_event_s(
    profile: EngineProfile, candidate: Candidate, read_s: float
) -> float:
    """Estimates when the first event comes: the running pass, then an own one."""
    load = candidate.load
    running_s = profile.pass_s(load.decode_streams, load.context_tokens) / 2
    own_s = profile.pass_s(load.decode_streams + 1, load.context_tokens)
    return running_s + load.backlog_s + read_s + own_s
