"""Decides whether a long prompt is begun now or waits for better places.

Load answered: more long prompts at once than the fleet can read. Begun all together,
they are read a little each, so that all come late, and they make the streams beside
them late. Begun one after the other, most are in time, and those that can't be wait
until they disturb nobody.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._cost import EngineChoice, harm_of, weight_of
from cicadacourse.placement._engines import MAX_HELPERS, choose_engines, is_long
from cicadacourse.placement._memory import choose_with_reservations
from cicadacourse.placement._model import Candidate, PlacementRequest

# Kept free of the objective, for what the estimate leaves out.
LATE_MARGIN_S = 0.1
# Places that are so near to the best that the fleet has are not waited for.
NEAR_SOONEST = 1.25
# Nearer to the end of its waiting than this, a prompt is begun although it makes others
# late, if they are worth less than it is.
LAST_CHANCE_S = 0.5
# The longest that a stream is stopped for it. Streams that are silent for a second are
# taken for broken.
MAX_STOP_S = 0.7
# What a late answer is worth to its caller, of one in time.
LATE_WORTH_SHARE = 0.25


def admit_prompt(
    need: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns the engines on which a prompt is begun now, or None if it waits."""
    choice = choose_best_engines(need, profile, candidates)
    if choice is None or not is_long(need, profile):
        return choice
    soonest_s = soonest_first_event_s(need, profile, len(candidates))
    return choice if should_start(need, choice, soonest_s, profile) else None


def choose_best_engines(
    need: PlacementRequest, profile: EngineProfile, candidates: Sequence[Candidate]
) -> EngineChoice | None:
    """Returns the best engines now, however bad, or None if there is no room."""
    choice = choose_engines(need, profile, candidates)
    return choice or choose_with_reservations(need, profile, candidates)


def should_start(
    need: PlacementRequest,
    choice: EngineChoice,
    soonest_s: float,
    profile: EngineProfile,
) -> bool:
    """Returns whether the best places that a long prompt can have now are good enough.

    :param choice: those places.
    :param soonest_s: the time to its first event if all engines were idle.
    """
    if choice.first_event_s >= need.time_left_s:
        return False
    harm = harm_of(profile, choice)
    if need.wait_s <= LAST_CHANCE_S:
        is_worth_it = harm <= LATE_WORTH_SHARE * weight_of(need)
        return is_worth_it and longest_stop_s(choice) <= MAX_STOP_S
    if harm:
        return False
    if choice.first_event_s <= need.target_s - LATE_MARGIN_S:
        return True
    is_late_anyway = soonest_s > need.target_s - LATE_MARGIN_S
    longest_s = max(need.wait_s, NEAR_SOONEST * soonest_s)
    return is_late_anyway and choice.first_event_s <= longest_s


def soonest_first_event_s(
    need: PlacementRequest, profile: EngineProfile, engines: int
) -> float:
    """Returns the time to the first event if all of some engines were idle."""
    readers = max(1, min(engines, 1 + MAX_HELPERS))
    return profile.prefill_s(need.prompt_tokens) / readers


def longest_stop_s(choice: EngineChoice) -> float:
    """Returns for how long a choice stops a stream in progress, in seconds."""
    return max(
        (
            item.load.backlog_s + choice.prefill_s
            for item in (choice.decode_engine, *choice.helpers)
            if item.load.decode_streams
        ),
        default=0.0,
    )
