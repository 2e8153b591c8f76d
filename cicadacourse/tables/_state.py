"""The state of the tables at a position of the log, and one record's effect on it."""

from __future__ import annotations

import enum

import attrs
from returns.result import Failure, Success

from cicadacourse.tables._model import Tables
from cicadacourse.tables._parser import parse_tables
from cicadacourse.tables._records import AcceptedEdit, Edit, Restate

RECENT_EDITS = 64


class OutcomeKind(enum.Enum):
    """What became of one record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"
    RESTATED = "restated"
    RESTATE_MISMATCH = "restate_mismatch"
    PASSED_OVER = "passed_over"


@attrs.frozen
class Outcome:
    """What became of one record.

    :param offset: the record's offset.
    :param kind: what became of it.
    :param edit_id: the edit's id, or empty.
    :param detail: why, or empty.
    """

    offset: int
    kind: OutcomeKind
    edit_id: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class Snapshot:
    """The state of the fold at one position of the log.

    Two snapshots at one position are equal whoever computed them, so of any two the
    one at the greater position is the newer.

    :param position: how many records of the stream are behind it.
    :param tables: the tables in force there; version 0 if there are none.
    :param routes: their table of routes in INI.
    :param pools: their table of pools in INI.
    :param recent_edits: the edits accepted last, oldest first.
    :param restated_from: the position from which on the log tells this state whole.
    :param restated_at_ms: the log's clock at that position; 0 if it is not known.
    """

    position: int = 0
    tables: Tables = attrs.Factory(Tables)
    routes: str = ""
    pools: str = ""
    recent_edits: tuple[AcceptedEdit, ...] = ()
    restated_from: int = 0
    restated_at_ms: int = 0

    @property
    def version(self) -> int:
        """The version in force."""
        return self.tables.version

    def find_version(self, edit_id: str) -> int | None:
        """Returns the version that an edit accepted of late brought, or None."""
        for edit in self.recent_edits:
            if edit.edit_id == edit_id:
                return edit.version
        return None


@attrs.frozen
class Entry:
    """A decoded record with its place in the log."""

    offset: int
    time_ms: int
    record: Edit | Restate


def apply_record(snapshot: Snapshot, entry: Entry) -> tuple[Snapshot, Outcome]:
    """Returns the state after a record, and what became of the record."""
    moved = attrs.evolve(snapshot, position=entry.offset + 1)
    if isinstance(entry.record, Restate):
        return _apply_restate(moved, entry)
    edit = entry.record
    if _is_repeated(edit, snapshot):
        return moved, Outcome(entry.offset, OutcomeKind.REPEATED, edit.edit_id)
    if not _is_based_on(edit, snapshot.version):
        detail = f"based on {edit.base_version}, in force is {snapshot.version}"
        return moved, Outcome(entry.offset, OutcomeKind.CONFLICT, edit.edit_id, detail)
    match parse_tables(edit.routes, edit.pools):
        case Failure(errors):
            detail = errors[0].detail
            return moved, Outcome(
                entry.offset, OutcomeKind.INVALID, edit.edit_id, detail
            )
        case Success(tables):
            accepted = _put_in_force(snapshot, edit, tables, entry)
            return accepted, Outcome(entry.offset, OutcomeKind.ACCEPTED, edit.edit_id)


def _is_repeated(edit: Edit, snapshot: Snapshot) -> bool:
    """Returns whether an edit with a base was accepted before."""
    if edit.base_version is None:
        return False
    return snapshot.find_version(edit.edit_id) is not None


def _is_based_on(edit: Edit, version: int) -> bool:
    if edit.base_version is None:
        return version <= edit.as_of
    return edit.base_version == version


def _put_in_force(
    snapshot: Snapshot, edit: Edit, tables: Tables, entry: Entry
) -> Snapshot:
    version = entry.offset + 1
    tables = attrs.evolve(
        tables, version=version, edit_id=edit.edit_id, author=edit.author
    )
    snapshot = attrs.evolve(
        snapshot,
        position=version,
        tables=tables,
        routes=edit.routes,
        pools=edit.pools,
        recent_edits=(
            *snapshot.recent_edits[1 - RECENT_EDITS :],
            AcceptedEdit(edit.edit_id, version),
        ),
    )
    if edit.base_version is not None:
        return snapshot
    # Nothing before the edit matters any more, and a newcomer may not know it.
    return attrs.evolve(
        snapshot,
        recent_edits=snapshot.recent_edits[-1:],
        restated_from=edit.as_of,
        restated_at_ms=entry.time_ms,
    )


def _apply_restate(moved: Snapshot, entry: Entry) -> tuple[Snapshot, Outcome]:
    restate = entry.record
    if restate.version > moved.version or restate.as_of > entry.offset:
        outcome = OutcomeKind.RESTATE_MISMATCH
        return moved, Outcome(entry.offset, outcome, restate.edit_id)
    if restate.as_of > moved.restated_from:
        moved = attrs.evolve(
            moved,
            restated_from=restate.as_of,
            restated_at_ms=restate.as_of_time_ms,
        )
    return moved, Outcome(entry.offset, OutcomeKind.RESTATED, restate.edit_id)


def get_restated(restate: Restate) -> Snapshot | None:
    """Returns the state that a restatement tells, or None if it is faulty."""
    if not 0 < restate.version <= restate.as_of:
        return None
    match parse_tables(restate.routes, restate.pools):
        case Success(tables):
            return Snapshot(
                position=restate.as_of,
                tables=attrs.evolve(
                    tables,
                    version=restate.version,
                    edit_id=restate.edit_id,
                    author=restate.author,
                ),
                routes=restate.routes,
                pools=restate.pools,
                recent_edits=restate.recent_edits,
                restated_from=restate.as_of,
                restated_at_ms=restate.as_of_time_ms,
            )
        case _:
            return None
