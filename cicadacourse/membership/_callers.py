"""Chooses the instances that callers are sent to."""

from __future__ import annotations

import random
from typing import Collection, Iterable, Sequence

from cicadacourse.membership._model import Member

# With fewer instances in its failure domain, a caller also gets those of other domains.
MIN_SAME_DOMAIN_MEMBERS = 2
# So many members are named at least, and this share of those that are alive: if fewer
# reach endpoints, they could not carry the load of all callers.
MIN_CONNECTED_MEMBERS = 2
MIN_CONNECTED_SHARE = 1 / 3


def select_connected(
    alive: Sequence[Member], cut_off_names: Collection[str]
) -> list[Member]:
    """Returns the members that reach endpoints, if they are enough for all callers.

    A caller keeps what it was told for seconds, and each request to an instance that
    has lost its links takes a longer way. All members are returned if too few are left.

    :param alive: members that callers may be sent to.
    :param cut_off_names: the names of those that have lost their links to endpoints.
    """
    connected = [item for item in alive if item.name not in cut_off_names]
    least = max(MIN_CONNECTED_MEMBERS, MIN_CONNECTED_SHARE * len(alive))
    return connected if len(connected) >= least else list(alive)


def choose_for_callers(
    alive: Iterable[Member],
    failure_domain: str,
    count: int,
    chooser: random.Random,
    regions: Collection[str] | None = None,
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
    :param regions: the regions that may serve the caller's requests, with the caller's
        own; None if all may. Others are named only if these have no instance.
    """
    reachable = [member for member in alive if member.caller_address]
    if regions is not None:
        allowed = [member for member in reachable if member.region in regions]
        reachable = allowed or reachable
    same_domain = [
        member for member in reachable if member.failure_domain == failure_domain
    ]
    chosen = same_domain if len(same_domain) >= MIN_SAME_DOMAIN_MEMBERS else reachable
    chooser.shuffle(chosen)
    return chosen[:count]
