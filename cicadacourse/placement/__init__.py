"""Which endpoints serve a request, when it waits, and when it is refused."""

from __future__ import annotations

from cicadacourse.placement._budget import RetryBudget
from cicadacourse.placement._calls import choose_endpoint
from cicadacourse.placement._contention import CONFIRM_S, must_give_way
from cicadacourse.placement._cost import EngineChoice
from cicadacourse.placement._engines import choose_engines, is_long
from cicadacourse.placement._health import EndpointHealth
from cicadacourse.placement._memory import choose_with_tickets
from cicadacourse.placement._model import Candidate, Need, Placement, TicketPlan
from cicadacourse.placement._placements import place_prompt
from cicadacourse.placement._queue import WaitQueue
from cicadacourse.placement._service import Placer
from cicadacourse.placement._start import choose_places, choose_start

__all__ = [
    "CONFIRM_S",
    "Candidate",
    "EndpointHealth",
    "EngineChoice",
    "Need",
    "Placement",
    "Placer",
    "RetryBudget",
    "TicketPlan",
    "WaitQueue",
    "choose_endpoint",
    "choose_engines",
    "choose_places",
    "choose_start",
    "choose_with_tickets",
    "is_long",
    "must_give_way",
    "place_prompt",
]
