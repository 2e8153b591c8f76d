"""The operators' tables as INI texts: read and checked into a catalogue, and back."""

from cicadacourse.tables._parser import parse_tables
from cicadacourse.tables._render import render_tables
from cicadacourse.tables._rows import (
    ROW_CLASS_BY_SECTION,
    EngineRow,
    LimitsRow,
    OrganisationRow,
    PoolRow,
    RouteRow,
)
from cicadacourse.tables._texts import TableTexts

__all__ = [
    "EngineRow",
    "LimitsRow",
    "OrganisationRow",
    "PoolRow",
    "ROW_CLASS_BY_SECTION",
    "RouteRow",
    "TableTexts",
    "parse_tables",
    "render_tables",
]
