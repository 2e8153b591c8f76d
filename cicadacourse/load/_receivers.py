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
from typing import Iterable, Mapping

import attrs

from cicadacourse.membership import Member, MemberState
from cicadacourse.util import hashing

# With two relays, one may fail without a report being lost.
RELAYS_PER_DOMAIN = 2
# In domains with more instances than this, the relays take turns.
MAX_SMALL_DOMAIN_SIZE = 8


@attrs.frozen
class Receivers:
    """The instances that receive a report.

    :param direct: instances that don't relay it.
    :param relays: instances that relay it within their failure domain at once.
    :param batching: instances that relay it in batches; the sender may be among them.
    """

    direct: tuple[Member, ...]
    relays: tuple[Member, ...]
    batching: tuple[Member, ...] = ()


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


def choose_batching_receivers(
    own: Member,
    members: Iterable[Member],
    sequence: int,
    capacity_by_name: Mapping[str, int],
    min_domain_size: int,
) -> Receivers:
    """Returns the receivers of a report that may come some milliseconds later.

    Expected load: a fleet of a hundred instances, each of which reports each start and
    end of a request. In each large domain, the sender's own one included, a relay
    collects reports and passes them on together. The relays are the two instances with
    most capacity, as they do most of the work; they take turns, as above.

    :param own: the instance that sends the report.
    :param members: the members known to it, itself included.
    :param sequence: number of the report, which selects the relay whose turn it is.
    :param capacity_by_name: the capacities of the instances that read batches.
    :param min_domain_size: smaller domains get the report as from
        :func:`choose_receivers`.
    """
    by_domain: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        by_domain[member.failure_domain].append(member)
    batching: list[Member] = []
    others: list[Member] = []
    for domain, domain_members in by_domain.items():
        relays = _rank_relays(domain, domain_members, capacity_by_name)
        if len(domain_members) < min_domain_size or len(relays) < RELAYS_PER_DOMAIN:
            others += domain_members
            continue
        batching.append(relays[sequence % RELAYS_PER_DOMAIN])
    receivers = choose_receivers(own, others, sequence)
    return attrs.evolve(receivers, batching=tuple(batching))


def _rank_relays(
    domain: str, members: Iterable[Member], capacity_by_name: Mapping[str, int]
) -> list[Member]:
    """Returns the live instances that read batches, the largest first."""
    able = [
        item
        for item in members
        if item.state is MemberState.ALIVE and item.name in capacity_by_name
    ]
    return sorted(
        able,
        key=lambda item: (
            -capacity_by_name[item.name],
            hashing.score(domain, item.name),
        ),
    )
