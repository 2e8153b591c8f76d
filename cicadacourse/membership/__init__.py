"""Who the live instances are."""

from cicadacourse.membership._callers import addresses_for_callers
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._service import Membership
from cicadacourse.membership._settings import MembershipSettings

__all__ = [
    "Member",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "addresses_for_callers",
]
