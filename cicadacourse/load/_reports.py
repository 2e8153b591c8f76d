"""Converts assignments to their reports, which hold ages instead of times, and back."""

from __future__ import annotations

from cicadacourse.load._messages import AssignmentReport
from cicadacourse.load._model import Assignment, Role
from cicadacourse.util.clock import MS_PER_S

# The largest values of the 16-bit and 32-bit fields of a report and of its frame.
MAX_UINT16_MS = 65_535
MAX_UINT32_MS = 4_294_967_295


def to_report(assignment: Assignment, now_s: float) -> AssignmentReport:
    """Returns the report of an assignment.

    :param now_s: loop time in seconds, from which its age is counted.
    """
    return AssignmentReport(
        endpoint=assignment.endpoint,
        role=assignment.role.value,
        context_tokens=assignment.context_tokens,
        read_ms=to_ms(assignment.prefill_s, MAX_UINT16_MS),
        gap_ms=to_ms(assignment.gap_s, MAX_UINT16_MS),
        age_ms=to_ms(now_s - assignment.started, MAX_UINT32_MS),
        is_read=assignment.is_prefilled,
    )


def to_ms(seconds: float, limit: int) -> int:
    """Returns whole milliseconds, clamped to the range from 0 to a field's limit."""
    return round(min(limit, max(0.0, seconds * MS_PER_S)))


def to_assignment(report: AssignmentReport, received_at_s: float) -> Assignment:
    """Returns the assignment that another instance reported.

    :param received_at_s: loop time at which the report arrived, in seconds.
    """
    return Assignment(
        endpoint=report.endpoint,
        role=Role(report.role),
        started=received_at_s - report.age_ms / MS_PER_S,
        context_tokens=report.context_tokens,
        prefill_s=report.read_ms / MS_PER_S,
        gap_s=report.gap_ms / MS_PER_S,
        is_prefilled=report.is_read,
        is_remote=True,
    )
