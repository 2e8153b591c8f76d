"""Decides whether a long prompt is admitted now or waits for better engines.

The expected load has more long prompts at a time than the fleet can prefill. If all are
admitted together, they share the engines, all of them miss their objective, and so do
the streams on the same engines. Admitted one after the other, most of them are in time,
and those that can't be wait until they delay no stream.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._cost import EngineChoice, request_weight, violation_cost
from cicadacourse.placement._engines import MAX_HELPERS, choose_engines, is_long
from cicadacourse.placement._kv_cache import choose_with_reservations
from cicadacourse.placement._model import Candidate, PlacementRequest

# Part of the latency objective that is left for what the estimate omits.
LATE_MARGIN_S = 0.1
# A prompt that can't meet its objective doesn't wait for better engines if its first
# event comes within this factor of the time on an idle fleet.
NEAR_SOONEST_FACTOR = 1.25
# A prompt that may wait for no longer than this is admitted even if it makes streams
# late, as long as their cost is at most the weight of a late response to it.
FINAL_WAIT_S = 0.5
# The longest stall of a stream that such an admission may cause. A stream that is idle
# for a second is taken to be broken.
MAX_STALL_S = 0.7
# Weight of a late response to its caller, relative to one in time.
LATE_WEIGHT_SHARE = 0.25


def admit_prompt(
    request: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns the engines on which a prompt is admitted now, or None if it waits."""
    choice = choose_best_engines(request, profile, candidates)
    if choice is None or not is_long(request, profile):
        return choice
    helpers = sum(
        item.may_help for item in candidates if item is not choice.decode_engine
    )
    soonest_s = soonest_first_event_s(request, profile, 1 + helpers)
    return choice if should_admit(request, choice, soonest_s, profile) else None


def choose_best_engines(
    request: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns the best engines at the moment, however late the prompt would be.

    :returns: None if there is no free slot or too little free KV cache, or if no engine
        can start a long prompt soon without delaying another.
    """
    choice = choose_engines(request, profile, candidates)
    return choice or choose_with_reservations(request, profile, candidates)


def should_admit(
    request: PlacementRequest,
    choice: EngineChoice,
    soonest_s: float,
    profile: EngineProfile,
) -> bool:
    """Returns whether the best engines at the moment are good enough for a long prompt.

    :param choice: the best engines at the moment.
    :param soonest_s: seconds to its first event if all engines were idle.
    """
    if choice.first_event_s >= request.time_left_s:
        return False
    added_cost = violation_cost(profile, choice)
    if request.wait_s <= FINAL_WAIT_S:
        is_justified = added_cost <= LATE_WEIGHT_SHARE * request_weight(request)
        return is_justified and longest_stall_s(choice) <= MAX_STALL_S
    if added_cost:
        return False
    if choice.first_event_s <= request.target_s - LATE_MARGIN_S:
        return True
    is_unavoidably_late = soonest_s > request.target_s - LATE_MARGIN_S
    limit_s = max(request.wait_s, NEAR_SOONEST_FACTOR * soonest_s)
    return is_unavoidably_late and choice.first_event_s <= limit_s


def soonest_first_event_s(
    request: PlacementRequest, profile: EngineProfile, engine_count: int
) -> float:
    """Returns the seconds to the first event on a number of idle engines."""
    prefill_engines = max(1, min(engine_count, 1 + MAX_HELPERS))
    return profile.prefill_s(request.prompt_tokens) / prefill_engines


def longest_stall_s(choice: EngineChoice) -> float:
    """Returns the longest stall that a choice causes to a stream, in seconds."""
    return max(
        (
            item.load.backlog_s + choice.prefill_s
            for item in (choice.decode_engine, *choice.helpers)
            if item.load.decode_streams
        ),
        default=0.0,
    )
