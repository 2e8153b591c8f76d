"""Which instances callers are sent to."""

from __future__ import annotations

import random
from typing import Iterable

from cicadacourse.membership._model import Member

# With fewer instances in its own failure domain a caller gets the others' too.
MIN_NEAR = 2


def choose_for_callers(
    alive: Iterable[Member], failure_domain: str, count: int, chooser: random.Random
) -> list[Member]:
    """Returns the members to name to a caller, in random order.

    Load answered: callers keep an answer for seconds and draw from it. Those of their
    own failure domain are named alone, as bytes between domains are dear, unless there
    are so few that one failure would leave the caller without any.

    :param alive: members that callers may be sent to.
    :param failure_domain: the caller's; empty if it is not known.
    :param count: how many members at the most.
    """
    named = [member for member in alive if member.caller_address]
    near = [member for member in named if member.failure_domain == failure_domain]
    chosen = near if len(near) >= MIN_NEAR else named
    chooser.shuffle(chosen)
    return chosen[:count]
