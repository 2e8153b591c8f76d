"""Which endpoints may get a request now, and if not, why and until when."""

from __future__ import annotations

from cicadacourse.eligibility._declines import (
    REASON_DECLINED,
    REASON_LEAVING,
    TIMER_SLACK_S,
    Declines,
)
from cicadacourse.eligibility._model import (
    NEVER,
    RULES,
    AllowedRegions,
    Obstacle,
    Rule,
)
from cicadacourse.eligibility._rules import REASON_EVACUATED, REASON_REGION
from cicadacourse.eligibility._service import Eligibility

__all__ = [
    "AllowedRegions",
    "Declines",
    "Eligibility",
    "NEVER",
    "Obstacle",
    "REASON_DECLINED",
    "REASON_EVACUATED",
    "REASON_LEAVING",
    "REASON_REGION",
    "RULES",
    "Rule",
    "TIMER_SLACK_S",
]
