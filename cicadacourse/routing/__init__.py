"""Routing: which endpoint runs an attempt, and when."""

from cicadacourse.routing._default import DefaultPolicy
from cicadacourse.routing._model import (
    PREFIX_BLOCKS,
    Grant,
    GroupMember,
    Outcome,
    PromptClass,
    Work,
    classify,
)
from cicadacourse.routing._parts import Parts
from cicadacourse.routing._policy import POLICIES, Policy
from cicadacourse.routing._service import Routing
from cicadacourse.routing._simple import LeastLoadedPolicy, NaivePolicy

__all__ = [
    "POLICIES",
    "PREFIX_BLOCKS",
    "DefaultPolicy",
    "Grant",
    "GroupMember",
    "LeastLoadedPolicy",
    "NaivePolicy",
    "Outcome",
    "Parts",
    "Policy",
    "PromptClass",
    "Routing",
    "Work",
    "classify",
]
