"""Which instances get a report directly, and which pass it on.

Load answered: every start of a request is told to all instances. Bytes between failure
domains are dear, so with more than two instances in another domain two of them get the
report and pass it on to their neighbours. In a large domain, where hearing each report
twice costs more than all else, the two take turns: while one of them is down, every
second report of a sender is missed, and the next one makes up for it.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Iterable

import attrs

from cicadacourse.membership import Member
from cicadacourse.util import hashing

# One may fail without a report being lost.
RELAYS_PER_DOMAIN = 2
# In larger domains relays take turns.
MAX_SMALL_DOMAIN = 8


@attrs.frozen
class Receivers:
    """Who gets a report.

    :param direct: instances that keep it to themselves.
    :param relays: instances that pass it on within their failure domain.
    """

    direct: tuple[Member, ...]
    relays: tuple[Member, ...]


def choose_receivers(
    own: Member, members: Iterable[Member], sequence: int = 0
) -> Receivers:
    """Returns the receivers of one of an instance's reports.

    :param sequence: the report's number, which decides whose turn it is.
    """
    by_domain: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        if member.name != own.name:
            by_domain[member.failure_domain].append(member)
    direct = by_domain.pop(own.failure_domain, [])
    relays: list[Member] = []
    for domain, found in by_domain.items():
        if len(found) <= RELAYS_PER_DOMAIN:
            direct.extend(found)
            continue
        by_name = {member.name: member for member in found}
        ranked = hashing.rank(f"{own.name} {domain}", by_name)
        chosen = ranked[:RELAYS_PER_DOMAIN]
        if len(found) > MAX_SMALL_DOMAIN:
            chosen = [chosen[sequence % RELAYS_PER_DOMAIN]]
        relays.extend(by_name[name] for name in chosen)
    return Receivers(tuple(direct), tuple(relays))
