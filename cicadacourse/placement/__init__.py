"""Which endpoints serve a request, when it waits, and when it is refused."""

from __future__ import annotations

from cicadacourse.placement._admission import admit_prompt, choose_best_engines
from cicadacourse.placement._budget import RetryBudget
from cicadacourse.placement._calls import choose_endpoint
from cicadacourse.placement._contention import CONTENTION_WINDOW_S, must_yield
from cicadacourse.placement._cost import EngineChoice
from cicadacourse.placement._engines import choose_engines, is_long
from cicadacourse.placement._health import EndpointHealth
from cicadacourse.placement._kv_cache import choose_with_reservations
from cicadacourse.placement._model import (
    AdmissionTerms,
    Candidate,
    Placement,
    PlacementRequest,
    ReservationPlan,
)
from cicadacourse.placement._placements import place_prompt
from cicadacourse.placement._queue import WaitQueue
from cicadacourse.placement._service import Placer

__all__ = [
    "AdmissionTerms",
    "CONTENTION_WINDOW_S",
    "Candidate",
    "EndpointHealth",
    "EngineChoice",
    "PlacementRequest",
    "Placement",
    "Placer",
    "RetryBudget",
    "ReservationPlan",
    "WaitQueue",
    "choose_endpoint",
    "choose_engines",
    "choose_best_engines",
    "admit_prompt",
    "choose_with_reservations",
    "is_long",
    "must_yield",
    "place_prompt",
]
