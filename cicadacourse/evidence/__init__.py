"""Observations of single instances, shared with the other instances."""

from cicadacourse.evidence._book import FactBook
from cicadacourse.evidence._model import FACT_KINDS, Fact, FactKind
from cicadacourse.evidence._service import Evidence

__all__ = ["FACT_KINDS", "Evidence", "Fact", "FactBook", "FactKind"]
