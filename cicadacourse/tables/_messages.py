"""Messages by which instances pass the tables in force on to each other."""

from __future__ import annotations

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.peers import message
from cicadacourse.tables._parser import parse_tables
from cicadacourse.tables._records import AcceptedEdit
from cicadacourse.tables._state import Snapshot


@message("tables.SnapshotRequest")
class SnapshotRequest:
    """Asks for a snapshot beyond a position of the log."""

    position: int


@message("tables.SnapshotReply")
class SnapshotReply:
    """The answering side's snapshot, or none if it is not beyond the position."""

    newer: bool = False
    position: int = 0
    version: int = 0
    edit_id: str = ""
    author: str = ""
    routes: str = ""
    pools: str = ""
    recent_edits: tuple[AcceptedEdit, ...] = ()
    restated_from: int = 0
    restated_at_ms: int = 0


@message("tables.Announcement")
class Announcement:
    """Tells that the sender has newer tables.

    :param address: the sender's peer address.
    :param position: the position of its snapshot.
    """

    address: str
    position: int


@message("tables.Announced")
class Announced:
    """The answer to an announcement."""


def make_reply(snapshot: Snapshot) -> SnapshotReply:
    """Returns a snapshot as a message."""
    return SnapshotReply(
        newer=True,
        position=snapshot.position,
        version=snapshot.version,
        edit_id=snapshot.tables.edit_id,
        author=snapshot.tables.author,
        routes=snapshot.routes,
        pools=snapshot.pools,
        recent_edits=snapshot.recent_edits,
        restated_from=snapshot.restated_from,
        restated_at_ms=snapshot.restated_at_ms,
    )


def read_reply(reply: SnapshotReply) -> Result[Snapshot, Error]:
    """Returns the snapshot of a message; ``INVALID_TABLES`` if they are faulty."""
    match parse_tables(reply.routes, reply.pools):
        case Failure(errors):
            return Failure(errors[0])
        case Success(tables):
            pass
    if reply.version > reply.position:
        detail = f"version {reply.version} at position {reply.position}"
        return Failure(Error(ErrorKind.INVALID_TABLES, detail))
    return Success(
        Snapshot(
            position=reply.position,
            tables=attrs.evolve(
                tables,
                version=reply.version,
                edit_id=reply.edit_id,
                author=reply.author,
            ),
            routes=reply.routes,
            pools=reply.pools,
            recent_edits=tuple(reply.recent_edits),
            restated_from=reply.restated_from,
            restated_at_ms=reply.restated_at_ms,
        )
    )
