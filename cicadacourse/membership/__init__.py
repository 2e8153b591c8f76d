"""Who the live instances are."""

from cicadacourse.membership._model import Member, MemberState

__all__ = ["Member", "MemberState"]
