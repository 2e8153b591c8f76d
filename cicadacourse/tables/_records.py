"""The records of the stream of tables, and their JSON form."""

from __future__ import annotations

import json
from typing import Any

import attrs
from returns.result import Failure, Result, Success

STREAM = "tables"
FORMAT_VERSION = 1

REASON_MALFORMED = "malformed"
REASON_NEWER_VERSION = "newer_version"
REASON_UNKNOWN_KIND = "unknown_kind"


@attrs.frozen
class AcceptedEdit:
    """An edit that was accepted, and the version that it brought into force."""

    edit_id: str
    version: int


@attrs.frozen(kw_only=True)
class Edit:
    """An operator's new tables.

    :param edit_id: unique; two records with one id are the same edit.
    :param base_version: the version that the edit is based on; None replaces
        whatever is in force, unless an edit came since ``as_of``.
    :param routes: the table of routes in INI.
    :param pools: the table of pools in INI.
    :param author: who publishes it.
    :param as_of: where the log ended when the publisher looked; used without base.
    """

    edit_id: str
    base_version: int | None
    routes: str
    pools: str
    author: str = ""
    as_of: int = 0


@attrs.frozen(kw_only=True)
class Restate:
    """The tables in force, put back into the log before their record expires.

    :param version: the version that was in force at ``as_of``.
    :param edit_id: the edit that brought it into force.
    :param author: that edit's author.
    :param routes: the table of routes in INI.
    :param pools: the table of pools in INI.
    :param recent_edits: the edits accepted last, oldest first.
    :param as_of: the position in the log at which this was the state.
    :param as_of_time_ms: the log's clock when it ended there.
    """

    version: int
    edit_id: str
    author: str
    routes: str
    pools: str
    recent_edits: tuple[AcceptedEdit, ...]
    as_of: int
    as_of_time_ms: int


def encode(record: Edit | Restate) -> bytes:
    """Returns the JSON form of a record."""
    kind = "edit" if isinstance(record, Edit) else "restate"
    body = {"v": FORMAT_VERSION, "kind": kind, **attrs.asdict(record)}
    return json.dumps(body, separators=(",", ":")).encode()


def decode(body: bytes) -> Result[Edit | Restate, str]:
    """Reads a record, or tells the reason why it must be passed over."""
    try:
        fields = json.loads(body)
        version = fields["v"]
        if not isinstance(version, int):
            return Failure(REASON_MALFORMED)
        if version > FORMAT_VERSION:
            return Failure(REASON_NEWER_VERSION)
        kind = fields.get("kind", "edit")
        if kind == "edit":
            return Success(_decode_edit(fields))
        if kind == "restate":
            return Success(_decode_restate(fields))
        return Failure(REASON_UNKNOWN_KIND)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return Failure(REASON_MALFORMED)


def _decode_edit(fields: dict[str, Any]) -> Edit:
    base = fields["base_version"]
    return Edit(
        edit_id=_text(fields["edit_id"]),
        base_version=None if base is None else _number(base),
        routes=_text(fields["routes"]),
        pools=_text(fields["pools"]),
        author=_text(fields.get("author", "")),
        as_of=_number(fields.get("as_of", 0)),
    )


def _decode_restate(fields: dict[str, Any]) -> Restate:
    recent = [
        AcceptedEdit(_text(row["edit_id"]), _number(row["version"]))
        for row in fields["recent_edits"]
    ]
    return Restate(
        version=_number(fields["version"]),
        edit_id=_text(fields["edit_id"]),
        author=_text(fields["author"]),
        routes=_text(fields["routes"]),
        pools=_text(fields["pools"]),
        recent_edits=tuple(recent),
        as_of=_number(fields["as_of"]),
        as_of_time_ms=_number(fields["as_of_time_ms"]),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(value)
    return value


def _number(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(value)
    return value
