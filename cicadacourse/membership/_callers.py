"""Which instances callers are sent to."""

from __future__ import annotations

import random
from typing import Iterable

from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._spread import spread


def addresses_for_callers(
    members: Iterable[Member], self_member: Member, count: int, seed: int
) -> list[Member]:
    """Returns the members to name to a caller, spread over failure domains.

    Dead, suspect and leaving members are left out, the asked one too if it leaves.

    :param count: how many members at the most.
    :param seed: orders the members; callers with other seeds get other ones.
    """
    by_name = {member.name: member for member in members}
    by_name[self_member.name] = self_member
    alive = [item for item in by_name.values() if item.state is MemberState.ALIVE]
    return spread(alive, count, random.Random(seed))
