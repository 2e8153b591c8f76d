"""What endpoints' JSON answers say, as typed messages."""

from __future__ import annotations

import json
from typing import Any

from cicadacourse.endpoints._model import (
    Endpoint,
    EngineLoad,
    EngineSession,
    EngineState,
    KvExport,
    SessionList,
    StreamLine,
)
from cicadacourse.errors import Error, ErrorKind, Run


def refusal_of(endpoint: Endpoint, status: int, content: bytes) -> Error:
    """Returns the error that an endpoint's refusal means.

    :param status: the HTTP status; the body may name ``reason``, ``run``,
        ``retry_after_s`` and ``last_token``.
    """
    try:
        body = json.loads(content)
    except ValueError:
        body = {}
    if not isinstance(body, dict):
        body = {}
    reason = str(body.get("reason") or f"status_{status}")
    if "last_token" in body:
        reason = "fenced"
    detail = f"{endpoint.name}: {body.get('error') or reason}"
    if body.get("run", Run.NOT_RUN.value) != Run.NOT_RUN.value:
        return Error(ErrorKind.ENDPOINT_FAILED, detail, reason)
    retry_after_s = body.get("retry_after_s")
    return Error(
        ErrorKind.ENDPOINT_REFUSED,
        detail,
        reason,
        retry_after_s=float(retry_after_s) if retry_after_s else None,
    )


def to_line(text: bytes) -> StreamLine:
    """Reads one line of a stream."""
    fields = json.loads(text)
    return StreamLine(
        fields["session"],
        fields["request"],
        fields["attempt"],
        fields["position"],
        fields.get("text", ""),
        fields.get("end", False) is True,
    )


def to_nothing(answer: Any) -> None:
    """Reads an answer that says no more than that it was done."""


def to_export(answer: dict[str, Any]) -> KvExport:
    """Reads the answer to an export."""
    return KvExport(str(answer["handle"]), int(answer["kv_tokens"]))


def to_session_list(answer: dict[str, Any]) -> SessionList:
    """Reads an engine's list of sessions."""
    sessions = tuple(
        EngineSession(
            session=row["session"],
            owner=row["owner"],
            state=row["state"],
            kv_tokens=row["kv_tokens"],
            age_s=row["age_s"],
            time_limit_s=row["time_limit_s"],
        )
        for row in answer["sessions"]
    )
    return SessionList(sessions, answer["kv_used"], answer["kv_capacity"])


def to_load(answer: dict[str, Any]) -> EngineLoad:
    """Reads a load report."""
    return EngineLoad(
        kv_used=answer["kv_used"],
        kv_capacity=answer["kv_capacity"],
        running=answer["running"],
        waiting=answer["waiting"],
        measured_at=answer["measured_at"],
    )


def to_state(answer: dict[str, Any]) -> EngineState:
    """Reads what an engine serves."""
    return EngineState(
        model=answer["model"],
        model_version=answer["model_version"],
        adapter=answer["adapter"],
        role=answer["role"],
        checks_fencing=answer["checks_fencing"],
        last_token=answer["last_token"],
        loading=answer["loading"],
    )
