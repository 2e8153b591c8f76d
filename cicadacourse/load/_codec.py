"""Encodes and decodes load reports, the most frequent message between instances.

Reports are converted field by field: the conversions of the general codec, in
``cicadacourse.peers``, would take longer than all else that is done with a report.
"""

from __future__ import annotations

from typing import Protocol

import capnp

from cicadacourse.load._messages import AssignmentReport, LoadReport
from cicadacourse.peers import MalformedMessage, load_schema

# A body that unpacks to more is refused: packing makes long runs of zeros very short.
_MAX_WORDS_PER_PACKED_BYTE = 16
_ROLES = frozenset({"write", "read", "call"})


def encode_report(report: LoadReport) -> bytes:
    """Returns the packed bytes of a report."""
    struct = load_schema("load").LoadReport.new_message()
    struct.sender = report.sender
    rows = struct.init("runs", len(report.runs))
    for row, assignment in zip(rows, report.runs):
        row.endpoint = assignment.endpoint
        row.role = assignment.role
        row.contextTokens = assignment.context_tokens
        row.readMs = assignment.read_ms
        row.gapMs = assignment.gap_ms
        row.ageMs = assignment.age_ms
        row.isRead = assignment.is_read
    return struct.to_bytes_packed()


def decode_report(body: bytes) -> LoadReport:
    """Returns the report that packed bytes hold.

    :raises MalformedMessage: if the bytes are not a load report.
    """
    limit_words = max(1, len(body)) * _MAX_WORDS_PER_PACKED_BYTE
    try:
        struct = load_schema("load").LoadReport.from_bytes_packed(
            body, traversal_limit_in_words=limit_words
        )
        assignments = tuple(_decode_assignment(row) for row in struct.runs)
        return LoadReport(sender=struct.sender, runs=assignments)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage("not a load report") from error


class _Run(Protocol):
    """The struct ``Run`` of the schema, as it is read."""

    endpoint: str
    role: str
    contextTokens: int
    readMs: int
    gapMs: int
    ageMs: int
    isRead: bool


def _decode_assignment(row: _Run) -> AssignmentReport:
    if row.role not in _ROLES:
        raise MalformedMessage(f"unknown role {row.role!r:.20}")
    return AssignmentReport(
        endpoint=row.endpoint,
        role=row.role,
        context_tokens=row.contextTokens,
        read_ms=row.readMs,
        gap_ms=row.gapMs,
        age_ms=row.ageMs,
        is_read=row.isRead,
    )
