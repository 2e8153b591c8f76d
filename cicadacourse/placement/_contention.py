"""Decides which of two instances keeps engines that both have just chosen.

Load answered: many long prompts wait on several instances, and all of them see at once
that engines have come free. An engine reads the newest part first, so prompts that are
begun on the same engines delay each other by more than one after the other would. An
instance therefore tells its choice, hears for a moment what the others have chosen, and
gives way to those whose parts are read sooner.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.load import Assignment, LoadTable

# By then the others' choices of the same moment have been heard: reports gather for
# some milliseconds and cross failure domains by a relay.
CONTENTION_WINDOW_S = 0.02


def must_yield(
    own_name: str, runs: Sequence[Assignment], book: LoadTable, now_s: float
) -> bool:
    """Returns whether another instance keeps an engine that these runs were put on.

    Both sides decide alike, as each tells the other how long its parts take.

    :param own_name: this instance's name.
    :param runs: this instance's runs for one prompt.
    :param now_s: loop time in seconds.
    """
    own_rank = (_rounded(runs[0]), own_name)
    return any(
        (_rounded(other), name) < own_rank
        for run in runs
        for name, other in book.remote_assignments_at(run.endpoint)
        if other.is_long_prefill and other.has_pending_prefill(now_s)
    )


def _rounded(run: Assignment) -> float:
    """Returns the reading of a run as others are told it, in whole milliseconds."""
    return round(run.prefill_s, 3)
