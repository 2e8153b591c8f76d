"""What is told to others by riding on probes."""

from __future__ import annotations

import math

import attrs

from cicadacourse.membership._model import Member

_SENDS_PER_DIGIT = 4


@attrs.define
class _Delta:
    member: Member
    sends: int = 0


class DeltaQueue:
    """Holds the latest changes; each is sent a number of times that grows as log N."""

    def __init__(self) -> None:
        self._delta_by_name: dict[str, _Delta] = {}

    def __len__(self) -> int:
        return len(self._delta_by_name)

    def put(self, member: Member) -> None:
        """Adds a change; it replaces an older one of the same member."""
        self._delta_by_name[member.name] = _Delta(member)

    def take(self, limit: int, member_count: int) -> tuple[Member, ...]:
        """Returns the changes sent the fewest times, up to a limit, and counts them.

        :param member_count: how many members there are.
        """
        most_sends = _SENDS_PER_DIGIT * math.ceil(math.log10(member_count + 1))
        least_sent = sorted(self._delta_by_name.values(), key=lambda item: item.sends)
        taken = least_sent[:limit]
        for delta in taken:
            delta.sends += 1
            if delta.sends >= most_sends:
                del self._delta_by_name[delta.member.name]
        return tuple(delta.member for delta in taken)
