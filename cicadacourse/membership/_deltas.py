"""Changes of members that are piggybacked on probes and their answers."""

from __future__ import annotations

import math

import attrs

from cicadacourse.membership._model import Member

# Each change is sent this many times per decimal digit of the number of members.
_SENDS_PER_DIGIT = 4


@attrs.define
class _Delta:
    member: Member
    sends: int = 0


class DeltaQueue:
    """The latest changes to gossip; each is sent O(log N) times among N members."""

    def __init__(self) -> None:
        self._delta_by_name: dict[str, _Delta] = {}

    def __len__(self) -> int:
        return len(self._delta_by_name)

    def put(self, member: Member) -> None:
        """Adds a change, which replaces an older one of the same member."""
        self._delta_by_name[member.name] = _Delta(member)

    def take(self, limit: int, member_count: int) -> tuple[Member, ...]:
        """Returns the changes that were sent the fewest times, and counts them as sent.

        :param limit: the largest number of changes to return.
        :param member_count: number of members known, which bounds the sends of each.
        """
        max_sends = _SENDS_PER_DIGIT * math.ceil(math.log10(member_count + 1))
        least_sent = sorted(self._delta_by_name.values(), key=lambda item: item.sends)
        taken = least_sent[:limit]
        for delta in taken:
            delta.sends += 1
            if delta.sends >= max_sends:
                del self._delta_by_name[delta.member.name]
        return tuple(delta.member for delta in taken)
