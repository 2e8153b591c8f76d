"""Turns runs into what is told of them, with ages in place of times, and back."""

from __future__ import annotations

from cicadacourse.load._messages import AssignmentReport
from cicadacourse.load._model import Assignment, Role
from cicadacourse.util.clock import MS_PER_S

# The largest values of the schema's 16-bit and 32-bit fields.
MAX_SHORT_MS = 65_535
MAX_AGE_MS = 4_294_967_295


def to_report(run: Assignment, at: float) -> AssignmentReport:
    """Returns how a run is told to others at a time."""
    return AssignmentReport(
        endpoint=run.endpoint,
        role=run.role.value,
        context_tokens=run.context_tokens,
        read_ms=to_ms(run.prefill_s, MAX_SHORT_MS),
        gap_ms=to_ms(run.gap_s, MAX_SHORT_MS),
        age_ms=to_ms(at - run.started, MAX_AGE_MS),
        is_read=run.is_prefilled,
    )


def to_ms(seconds: float, limit: int) -> int:
    """Returns whole milliseconds that fit a field."""
    return round(min(limit, max(0.0, seconds * MS_PER_S)))


def to_assignment(report: AssignmentReport, at: float) -> Assignment:
    """Returns the run that another instance tells of."""
    return Assignment(
        endpoint=report.endpoint,
        role=Role(report.role),
        started=at - report.age_ms / MS_PER_S,
        context_tokens=report.context_tokens,
        prefill_s=report.read_ms / MS_PER_S,
        gap_s=report.gap_ms / MS_PER_S,
        is_prefilled=report.is_read,
        is_remote=True,
    )
