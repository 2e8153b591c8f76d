"""Chooses an endpoint for a call, or for any request to a plain service.

A call is a request without a prompt, usually to a plain service.

The expected load is calls of some tens of milliseconds on few endpoints. They use a
fraction of the slots normally and exceed them in bursts.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.placement._model import Candidate


def choose_endpoint(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the endpoint with the lowest load that can start a call, or None.

    The load is relative to the endpoint's slots. Among equals, an endpoint of the own
    failure domain is preferred.
    """
    free = [item for item in candidates if item.has_slot and item.has_connection]
    return min(free, key=_rank, default=None)


def _rank(candidate: Candidate) -> tuple[float, bool, int]:
    load_share = candidate.load.in_progress / candidate.endpoint.slots
    return (load_share, not candidate.is_same_domain, candidate.tie_break)
