"""Packs and unpacks load reports, the most frequent message between instances.

They are read field by field, as the general codec's conversions take longer than all
else that is done with a report.
"""

from __future__ import annotations

import capnp

from cicadacourse.load._messages import AssignmentReport, LoadReport
from cicadacourse.peers import MalformedMessage, load_schema

_WORDS_PER_BYTE = 16
_ROLES = frozenset({"write", "read", "call"})


def encode_report(report: LoadReport) -> bytes:
    """Packs a report into bytes."""
    struct = load_schema("load").LoadReport.new_message()
    struct.sender = report.sender
    rows = struct.init("runs", len(report.runs))
    for row, run in zip(rows, report.runs):
        row.endpoint = run.endpoint
        row.role = run.role
        row.contextTokens = run.context_tokens
        row.readMs = run.read_ms
        row.gapMs = run.gap_ms
        row.ageMs = run.age_ms
        row.isRead = run.is_read
    return struct.to_bytes_packed()


def decode_report(body: bytes) -> LoadReport:
    """Unpacks a report.

    :raises MalformedMessage: if the bytes are no report.
    """
    limit_words = max(1, len(body)) * _WORDS_PER_BYTE
    try:
        struct = load_schema("load").LoadReport.from_bytes_packed(
            body, traversal_limit_in_words=limit_words
        )
        runs = tuple(_decode_run(row) for row in struct.runs)
        return LoadReport(sender=struct.sender, runs=runs)
    except (capnp.KjException, ValueError) as error:
        raise MalformedMessage("not a load report") from error


def _decode_run(row: object) -> AssignmentReport:
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
