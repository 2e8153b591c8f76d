"""Candidate engines for the placement tests."""

from __future__ import annotations

from cicadacourse.catalog import Endpoint
from cicadacourse.load import EndpointLoad
from cicadacourse.placement import Candidate


def engine(number: int, is_same_domain: bool = True, **load: object) -> Candidate:
    """Returns a candidate engine with a given load."""
    endpoint = Endpoint(f"e{number:02}", "engines", f"10.0.0.{number}:1", "a", 8)
    return Candidate(endpoint, EndpointLoad(**load), is_same_domain, tie_break=number)
