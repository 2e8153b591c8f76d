"""Which instances receive a load report directly, and which relay it.

Expected load: each start of a request is reported to all instances. Traffic between
failure domains is expensive, so if another domain has more than two instances, two of
them receive the report and relay it within their domain. In a large domain, where
receiving each report twice would cost more than all else, the two relays take turns:
while one of them is down, every second report of a sender is lost there, and the next
one makes up for it.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Iterable

import attrs

from cicadacourse.membership import Member
from cicadacourse.util import hashing

# With two relays, one may fail without a report being lost.
RELAYS_PER_DOMAIN = 2
# In domains with more instances than this, the relays take turns.
MAX_SMALL_DOMAIN_SIZE = 8


@attrs.frozen
class Receivers:
    """The instances that receive a report.

    :param direct: instances that don't relay it.
    :param relays: instances that relay it within their failure domain.
    """

    direct: tuple[Member, ...]
    relays: tuple[Member, ...]


def choose_receivers(
    own: Member, members: Iterable[Member], sequence: int = 0
) -> Receivers:
    """Returns the receivers of one of an instance's reports.

    :param own: the instance that sends the report.
    :param members: the members known to it; it may be among them.
    :param sequence: number of the report, which selects the relay whose turn it is.
    """
    by_domain: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        if member.name != own.name:
            by_domain[member.failure_domain].append(member)
    direct = by_domain.pop(own.failure_domain, [])
    relays: list[Member] = []
    for domain, domain_members in by_domain.items():
        if len(domain_members) <= RELAYS_PER_DOMAIN:
            direct.extend(domain_members)
            continue
        by_name = {member.name: member for member in domain_members}
        ranked = hashing.rank(f"{own.name} {domain}", by_name)
        chosen = ranked[:RELAYS_PER_DOMAIN]
        if len(domain_members) > MAX_SMALL_DOMAIN_SIZE:
            chosen = [chosen[sequence % RELAYS_PER_DOMAIN]]
        relays.extend(by_name[name] for name in chosen)
    return Receivers(tuple(direct), tuple(relays))
