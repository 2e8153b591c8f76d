"""The tables of routes and pools: model, parser, fold and follower."""

from cicadacourse.tables._fold import Fold
from cicadacourse.tables._follower import TablesFollower, TablesSettings
from cicadacourse.tables._model import KIND_CALL, KIND_GENERATE, Pool, Route, Tables
from cicadacourse.tables._parser import parse_tables
from cicadacourse.tables._publisher import Published, publish_edit, read_to_end
from cicadacourse.tables._records import STREAM, Edit, Restate
from cicadacourse.tables._state import Outcome, OutcomeKind, Snapshot

__all__ = [
    "Edit",
    "Fold",
    "KIND_CALL",
    "KIND_GENERATE",
    "Outcome",
    "OutcomeKind",
    "Pool",
    "Published",
    "Restate",
    "Route",
    "STREAM",
    "Snapshot",
    "Tables",
    "TablesFollower",
    "TablesSettings",
    "parse_tables",
    "publish_edit",
    "read_to_end",
]
