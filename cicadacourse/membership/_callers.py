"""Chooses the instances that callers are sent to."""

from __future__ import annotations

import random
from typing import Iterable

from cicadacourse.membership._model import Member

# With fewer instances in its failure domain, a caller also gets those of other domains.
MIN_SAME_DOMAIN_MEMBERS = 2


def choose_for_callers(
    alive: Iterable[Member], failure_domain: str, count: int, chooser: random.Random
) -> list[Member]:
    """Returns the members to name to a caller, in random order.

    Callers cache a response for seconds and choose from it at random. As traffic
    between failure domains is expensive, the response lists only instances of the
    caller's own domain, unless there are so few that one failure would leave the
    caller without any.

    :param alive: members that callers may be sent to.
    :param failure_domain: the caller's failure domain, empty if it is not known.
    :param count: the largest number of members to return.
    :param chooser: the source of randomness.
    """
    reachable = [member for member in alive if member.caller_address]
    same_domain = [
        member for member in reachable if member.failure_domain == failure_domain
    ]
    chosen = same_domain if len(same_domain) >= MIN_SAME_DOMAIN_MEMBERS else reachable
    chooser.shuffle(chosen)
    return chosen[:count]
