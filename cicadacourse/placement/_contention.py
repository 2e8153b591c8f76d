"""Decides which of two instances keeps engines that both have just chosen.

While long prompts are queued on several instances, all of them see at the same time
that engines have become free. An engine prefills the newest part first, so two prompts
that start on the same engines delay each other by more than if they ran in sequence. An
instance therefore announces its choice, receives the choices of the others during a
contention window, and yields to those with a shorter prefill.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.load import Assignment, LoadTable

# By the end of the window, the choices that other instances made at the same time have
# been received. Reports are coalesced for some milliseconds and reach other failure
# domains by a relay.
CONTENTION_WINDOW_S = 0.02


def must_yield(
    own_name: str, assignments: Sequence[Assignment], table: LoadTable, now_s: float
) -> bool:
    """Returns whether this instance yields an engine to another instance.

    Both sides decide alike, as each reports the prefill time of its parts.

    :param own_name: this instance's name, which breaks ties.
    :param assignments: this instance's assignments for one prompt.
    :param table: the assignments of all instances.
    :param now_s: loop time in seconds.
    """
    own_rank = (_reported_prefill_s(assignments[0]), own_name)
    return any(
        (_reported_prefill_s(other), name) < own_rank
        for assignment in assignments
        for name, other in table.remote_assignments_at(assignment.endpoint)
        if other.is_long_prefill and other.has_pending_prefill(now_s)
    )


def _reported_prefill_s(assignment: Assignment) -> float:
    """Returns the prefill time in seconds as reports have it, in whole milliseconds."""
    return round(assignment.prefill_s, 3)
