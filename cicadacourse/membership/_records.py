"""The records of all members that this instance knows, its own included."""

from __future__ import annotations

from typing import Any, Callable

from cicadacourse.application import Application
from cicadacourse.membership._deltas import DeltaQueue
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._own import OwnRecord
from cicadacourse.membership._reports import report_change, update_member_metrics
from cicadacourse.membership._settings import REFUTATIONS, MembershipSettings
from cicadacourse.membership._view import MembershipView
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("membership")


class Records:
    """Merges received records, and queues and reports their changes.

    :param own: this instance's own record.
    :param view: the records of the other members.
    :param on_own_news: called once others should learn at once of a change of this
        instance: it has refuted a wrong record of itself, or has joined them.
    """

    def __init__(
        self,
        app: Application,
        settings: MembershipSettings,
        own: OwnRecord,
        view: MembershipView,
        on_own_news: Callable[[], None],
    ) -> None:
        self.own = own
        self.view = view
        self._app = app
        self._settings = settings
        self._on_own_news = on_own_news
        self._deltas = DeltaQueue()
        self._alive_members: list[Member] | None = None
        self._members: tuple[Member, ...] = ()
        self._members_as_of: tuple[Member, int] | None = None

    def members(self) -> list[Member]:
        """Returns all members that are not dead, this one included, sorted by name.

        They are asked for with each report of the load, and seldom change.
        """
        as_of = (self.own.member, self.view.generation)
        if as_of != self._members_as_of:
            live = [self.own.member, *self.view.live()]
            self._members = tuple(sorted(live, key=lambda member: member.name))
            self._members_as_of = as_of
        return list(self._members)

    def alive_members(self) -> list[Member]:
        """Returns the members that callers may be sent to, sorted by name.

        If there is none, the list is this instance's own record.
        """
        if self._alive_members is None:
            alive = [
                member
                for member in self.members()
                if member.state is MemberState.ALIVE and self._may_be_offered(member)
            ]
            self._alive_members = alive or [self.own.member]
        return self._alive_members

    def find(self, name: str) -> Member | None:
        """Returns the record of a member, dead or not, or None if it is unknown."""
        own = self.own.member
        return own if name == own.name else self.view.find(name)

    def receive(self, *members: Member) -> None:
        """Merges received records and gossips those that are newer."""
        for member in members:
            if member.name == self.own.member.name:
                self._receive_own(member)
                continue
            known = self.view.find(member.name)
            if self.view.merge(member, now()):
                self._deltas.put(member)
                self._record_change()
                report_change(self._app, known, member)

    def deltas_for(self, name: str) -> tuple[Member, ...]:
        """Returns the changes that a message to a member carries.

        A record by which that member is not alive is always among them, so that the
        member can refute it.
        """
        limit = self._settings.deltas_per_message
        deltas = self._deltas.take(limit, len(self.view) + 1)
        receiver = self.view.find(name)
        if receiver is None or receiver.state is MemberState.ALIVE:
            return deltas
        return (*(item for item in deltas if item.name != name), receiver)

    def change_own(self, **changes: Any) -> None:
        """Changes fields of this instance's own record and gossips it."""
        self._deltas.put(self.own.update(**changes))
        self._record_change()

    def start_refresh(self) -> None:
        """Keeps callers away from this instance while its view may be outdated."""
        self.own.is_refreshing = True
        self._record_change()

    def finish_refresh(self, has_synced: bool) -> None:
        """Ends a refresh, so that callers may be sent to this instance again.

        :param has_synced: whether another instance has answered.
        """
        was_starting = self.own.is_starting
        self.own.finish_refresh(has_synced)
        self._record_change()
        if was_starting and not self.own.is_starting:
            self._deltas.put(self.own.member)
            self._on_own_news()

    def _receive_own(self, received: Member) -> None:
        """Refutes a wrong record of this instance, unless it was replaced."""
        if self.own.detect_replacement(received):
            logger.error(
                "replaced by {}; callers are no longer sent here",
                received.peer_address,
            )
            self._record_change()
        elif self.own.must_refute(received):
            if received.state is not MemberState.ALIVE:
                self._app.metrics.count(REFUTATIONS)
            self.change_own(incarnation=self.own.next_incarnation(received))
            self._on_own_news()

    def _may_be_offered(self, member: Member) -> bool:
        """Returns whether callers may be sent to an alive member."""
        return member.name != self.own.member.name or self.own.may_be_offered()

    def _record_change(self) -> None:
        """Drops the cached members and updates the metrics, as a record has changed."""
        self._alive_members = None
        update_member_metrics(self._app, self.view)
