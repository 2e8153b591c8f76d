"""Engines that may be chosen, as an instance sees them."""

from __future__ import annotations

from cicadacourse.catalog import Endpoint
from cicadacourse.load import EndpointLoad
from cicadacourse.placement import Candidate


def engine(number: int, near: bool = True, **load: object) -> Candidate:
    """Returns an engine with some load."""
    endpoint = Endpoint(f"e{number:02}", "engines", f"10.0.0.{number}:1", "a", 8)
    return Candidate(endpoint, EndpointLoad(**load), near, tie_break=number)
