"""This instance's own record, and what others say of it."""

from __future__ import annotations

from typing import Any

import attrs

from cicadacourse.config import InstanceSettings
from cicadacourse.membership._model import Member, MemberState


class OwnRecord:
    """Decides whether to refute what others believe of this instance.

    Until it has heard from another instance it is fresh: what is said under its name
    is of an earlier life. Later, a newer record under its name but at another address
    is of a process that replaced this one.

    :param settings: who this instance is.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        self.member = Member(
            name=settings.name,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            region=settings.region,
            failure_domain=settings.failure_domain,
        )
        self.is_fresh = True
        self.is_replaced = False

    def change(self, **changes: Any) -> Member:
        """Changes fields of the record and returns it."""
        self.member = attrs.evolve(self.member, **changes)
        return self.member

    def must_refute(self, heard: Member) -> bool:
        """Returns whether a record heard under the own name must not stand."""
        if self.is_replaced or heard.incarnation < self.member.incarnation:
            return False
        if self.is_fresh:
            return True
        if heard.peer_address != self.member.peer_address:
            return False
        return _is_bad(heard) or heard.incarnation > self.member.incarnation

    def notice_replacement(self, heard: Member) -> bool:
        """Returns whether a record shows for the first time that it was replaced."""
        if self.is_fresh or self.is_replaced:
            return False
        elsewhere = heard.peer_address != self.member.peer_address
        self.is_replaced = elsewhere and heard.incarnation > self.member.incarnation
        return self.is_replaced


def _is_bad(member: Member) -> bool:
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)
