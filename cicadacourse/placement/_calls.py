"""Chooses the endpoint of a plain service for a call.

Load answered: short calls of some tens of milliseconds on few endpoints, at a fraction
of their slots in calm times and above them in bursts.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.placement._model import Candidate


def choose_endpoint(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the least loaded endpoint with a free slot, a near one among equals."""
    free = [item for item in candidates if item.has_slot]
    return min(free, key=_rank, default=None)


def _rank(candidate: Candidate) -> tuple[float, bool, int]:
    share = candidate.load.in_progress / candidate.endpoint.slots
    return (share, not candidate.is_same_domain, candidate.tie_break)
