"""Gossip membership: which instances are live.

A live member is not dead, so its state is ``alive``, ``suspect`` or ``leaving``; an
alive member is in the state ``alive``.
"""

from cicadacourse.membership._callers import choose_for_callers, select_connected
from cicadacourse.membership._contacts import Contact, ContactSource
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._service import Membership
from cicadacourse.membership._settings import MembershipSettings

__all__ = [
    "Contact",
    "ContactSource",
    "Member",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "choose_for_callers",
    "select_connected",
]
