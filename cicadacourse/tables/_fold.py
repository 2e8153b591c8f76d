"""The fold from the stream of tables to the version in force."""

from __future__ import annotations

import enum

import attrs
from returns.result import Failure, Success

from cicadacourse.platform import Batch, Record
from cicadacourse.tables._model import Tables
from cicadacourse.tables._parser import parse_tables
from cicadacourse.tables._records import AcceptedEdit, Edit, Restate, decode

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
    :param restated_at_ms: until when, by the log's clock, the state is in the log
        whole: the latest time that a restatement speaks of.
    """

    position: int = 0
    tables: Tables = attrs.Factory(Tables)
    routes: str = ""
    pools: str = ""
    recent_edits: tuple[AcceptedEdit, ...] = ()
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
class _Entry:
    """A decoded record with its place in the log."""

    offset: int
    time_ms: int
    record: Edit | Restate


class Fold:
    """Follows the stream of tables from any position.

    While no record is missing between :attr:`snapshot` and :attr:`position`, the
    fold is resolved. A gap (records that expired unread) leaves it unresolved until
    a restatement, or a peer's snapshot, speaks of a position behind the gap.

    :param snapshot: where to start; the log's very beginning by default.
    """

    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.snapshot = snapshot or Snapshot()
        self.position = self.snapshot.position
        self._gap_end: int | None = None
        self._pending: list[_Entry] = []

    @property
    def resolved(self) -> bool:
        """Whether the snapshot is the state at the position."""
        return self._gap_end is None

    def feed(self, batch: Batch) -> list[Outcome]:
        """Takes the records of one read; returns what became of those decided."""
        start = batch.records[0].offset if batch.records else batch.first_offset
        if start > self.position:
            self._open_gap(start)
        outcomes: list[Outcome] = []
        for record in batch.records:
            if record.offset >= self.position:
                outcomes.extend(self._take(record))
        return outcomes

    def adopt(self, snapshot: Snapshot) -> bool:
        """Takes another instance's snapshot if it is newer; returns whether it was."""
        if snapshot.position <= self.snapshot.position:
            return False
        self.snapshot = snapshot
        if self._gap_end is None or snapshot.position >= self._gap_end:
            self._replay_pending()
        return True

    def _open_gap(self, end: int) -> None:
        self._gap_end = self.position = end
        self._pending.clear()

    def _take(self, record: Record) -> list[Outcome]:
        self.position = record.offset + 1
        match decode(record.body):
            case Failure(reason):
                self._step_over()
                return [Outcome(record.offset, OutcomeKind.PASSED_OVER, "", reason)]
            case Success(decoded):
                entry = _Entry(record.offset, record.time_ms, decoded)
        if self.resolved:
            return [self._apply(entry)]
        self._pending.append(entry)
        return self._try_resolve(entry)

    def _step_over(self) -> None:
        if self.resolved:
            self.snapshot = attrs.evolve(self.snapshot, position=self.position)

    def _apply(self, entry: _Entry) -> Outcome:
        self.snapshot, outcome = apply_record(self.snapshot, entry)
        return outcome

    def _try_resolve(self, entry: _Entry) -> list[Outcome]:
        """Closes the gap if the entry alone tells the state behind it."""
        record = entry.record
        if not self._gap_end <= record.as_of <= entry.offset:
            return []
        if isinstance(record, Restate):
            snapshot = _get_restated(record)
        else:
            snapshot = self._get_replaced(entry)
        if snapshot is None:
            return []
        self.snapshot = snapshot
        return self._replay_pending()

    def _get_replaced(self, entry: _Entry) -> Snapshot | None:
        """Returns a state before an edit that is in force whatever came before it."""
        edit = entry.record
        if edit.base_version is not None:
            return None
        if self._has_edit_between(edit.as_of, entry.offset):
            return None
        if isinstance(parse_tables(edit.routes, edit.pools), Failure):
            return None
        return Snapshot(position=entry.offset)

    def _has_edit_between(self, start: int, end: int) -> bool:
        return any(
            isinstance(entry.record, Edit) and start <= entry.offset < end
            for entry in self._pending
        )

    def _replay_pending(self) -> list[Outcome]:
        pending, self._pending = self._pending, []
        self._gap_end = None
        outcomes = [
            self._apply(entry)
            for entry in pending
            if entry.offset >= self.snapshot.position
        ]
        self.position = max(self.position, self.snapshot.position)
        self._step_over()
        return outcomes


def apply_record(snapshot: Snapshot, entry: _Entry) -> tuple[Snapshot, Outcome]:
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
    snapshot: Snapshot, edit: Edit, tables: Tables, entry: _Entry
) -> Snapshot:
    version = entry.offset + 1
    alone = edit.base_version in (None, 0)
    recent = () if alone else snapshot.recent_edits[1 - RECENT_EDITS :]
    return Snapshot(
        position=version,
        tables=attrs.evolve(
            tables, version=version, edit_id=edit.edit_id, author=edit.author
        ),
        routes=edit.routes,
        pools=edit.pools,
        recent_edits=(*recent, AcceptedEdit(edit.edit_id, version)),
        restated_at_ms=entry.time_ms if alone else snapshot.restated_at_ms,
    )


def _apply_restate(moved: Snapshot, entry: _Entry) -> tuple[Snapshot, Outcome]:
    restate = entry.record
    if restate.version > moved.version or restate.as_of > entry.offset:
        outcome = OutcomeKind.RESTATE_MISMATCH
        return moved, Outcome(entry.offset, outcome, restate.edit_id)
    time_ms = max(moved.restated_at_ms, restate.as_of_time_ms)
    moved = attrs.evolve(moved, restated_at_ms=time_ms)
    return moved, Outcome(entry.offset, OutcomeKind.RESTATED, restate.edit_id)


def _get_restated(restate: Restate) -> Snapshot | None:
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
                restated_at_ms=restate.as_of_time_ms,
            )
        case _:
            return None
