"""The record of this instance, and what the others believe of it."""

from __future__ import annotations

from typing import Any

import attrs

from cicadacourse.config import InstanceSettings
from cicadacourse.membership._model import Member, MemberState

# By how much a starting instance's incarnation exceeds the one of a record that it
# refutes. A former process that was only frozen may still refute its own death, by one
# more than that record's, before it learns that it was replaced.
START_MARGIN = 2


class OwnRecord:
    """Decides whether to refute what others believe of this instance.

    Until it has synced with another instance it is starting, and any record under its
    name describes a former process. Later, a newer record under its name but at another
    address describes a process that replaced this one.

    :param settings: name, addresses and failure domain of this instance.
    :ivar is_refreshing: whether its view may be outdated, after a start or a pause.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        self.member = Member(
            name=settings.name,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            region=settings.region,
            failure_domain=settings.failure_domain,
        )
        self.is_starting = True
        self.is_refreshing = True
        self.is_replaced = False

    def update(self, **changes: Any) -> Member:
        """Changes fields of the record and returns it."""
        self.member = attrs.evolve(self.member, **changes)
        return self.member

    def may_be_offered(self) -> bool:
        """Returns whether callers may be sent to this instance while it is alive."""
        return not self.is_refreshing and not self.is_replaced

    def finish_refresh(self, has_synced: bool) -> None:
        """Ends a refresh, and also the start if another instance has answered."""
        self.is_starting = self.is_starting and not has_synced
        self.is_refreshing = False

    def must_refute(self, received: Member) -> bool:
        """Returns whether a received record of this instance has to be refuted."""
        if self.is_replaced or received.incarnation < self.member.incarnation:
            return False
        if self.is_starting:
            return not self._is_current(received)
        if received.peer_address != self.member.peer_address:
            return False
        return (
            _is_suspect_or_dead(received)
            or received.incarnation > self.member.incarnation
        )

    def next_incarnation(self, received: Member) -> int:
        """Returns the incarnation that refutes a received record of this instance."""
        return received.incarnation + (START_MARGIN if self.is_starting else 1)

    def _is_current(self, received: Member) -> bool:
        """Returns whether a received record says what the own one says.

        Refuting such a record would make others return the refutation, and so on.
        """
        version = self.member.configuration_version
        return attrs.evolve(received, configuration_version=version) == self.member

    def detect_replacement(self, received: Member) -> bool:
        """Records whether another process replaced this instance's.

        :returns: whether the received record is the first to show it.
        """
        if self.is_starting or self.is_replaced:
            return False
        is_elsewhere = received.peer_address != self.member.peer_address
        self.is_replaced = (
            is_elsewhere and received.incarnation > self.member.incarnation
        )
        return self.is_replaced


def _is_suspect_or_dead(member: Member) -> bool:
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)
