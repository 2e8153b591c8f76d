"""Parses the operators' tables, INI texts, to a catalogue, and renders them from it."""

from cicadacourse.tables._parser import parse_tables
from cicadacourse.tables._render import render_tables
from cicadacourse.tables._rows import (
    ROW_CLASS_BY_SECTION,
    EngineRow,
    KeysRow,
    LimitsRow,
    OrganisationRow,
    PoolRow,
    RouteRow,
)
from cicadacourse.tables._texts import TableTexts

__all__ = [
    "EngineRow",
    "KeysRow",
    "LimitsRow",
    "OrganisationRow",
    "PoolRow",
    "ROW_CLASS_BY_SECTION",
    "RouteRow",
    "TableTexts",
    "parse_tables",
    "render_tables",
]
