"""Messages between the dispatcher of an endpoint and the owners of its sessions."""

from __future__ import annotations

from cicadacourse.peers import message


@message("sessions.HoldQuery")
class HoldQuery:
    """Asks an instance which of some sessions it still holds."""

    sessions: tuple[str, ...]


@message("sessions.HoldReply")
class HoldReply:
    """The sessions of a query that are held; all others may be released."""

    held: tuple[str, ...]
