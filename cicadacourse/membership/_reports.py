"""Logs, events and metrics for the changes of members' records."""

from __future__ import annotations

from collections import Counter

from cicadacourse.application import Application
from cicadacourse.events import MEMBER_JOINED, MEMBER_LEFT
from cicadacourse.logs import (
    MEMBER_DIED,
    MEMBER_LIVE,
    MEMBER_SUSPECTED,
    MEMBER_SUSPICION_CLEARED,
    log,
)
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._settings import DEATHS, MEMBERS
from cicadacourse.membership._view import MembershipView


def report_change(app: Application, known: Member | None, member: Member) -> None:
    """Reports a change of another member's record.

    :param known: the record before the change, or None if the member was unknown.
    """
    was_live = known is not None and known.state is not MemberState.DEAD
    is_live = member.state is not MemberState.DEAD
    _log_suspicion(known, member)
    if is_live and not was_live:
        log(MEMBER_LIVE, member=member.name, address=member.peer_address)
        app.events.emit(MEMBER_JOINED, member)
    if was_live and not is_live:
        log(MEMBER_DIED, member=member.name, address=member.peer_address)
        app.metrics.count(DEATHS)
        app.events.emit(MEMBER_LEFT, member)


def update_member_metrics(app: Application, view: MembershipView) -> None:
    """Sets the number of other members known, by state."""
    counts = Counter(entry.member.state for entry in view.entries())
    for state in MemberState:
        app.metrics.set(MEMBERS, counts[state], state=state.value)


def _log_suspicion(known: Member | None, member: Member) -> None:
    was_suspect = known is not None and known.state is MemberState.SUSPECT
    is_suspect = member.state is MemberState.SUSPECT
    if is_suspect and not was_suspect:
        log(MEMBER_SUSPECTED, member=member.name, address=member.peer_address)
    if was_suspect and member.state is MemberState.ALIVE:
        log(MEMBER_SUSPICION_CLEARED, member=member.name, address=member.peer_address)
