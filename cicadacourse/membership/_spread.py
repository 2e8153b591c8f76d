"""Chooses members spread over failure domains."""

from __future__ import annotations

import random
from typing import Iterable

from cicadacourse.membership._model import Member


def spread(
    members: Iterable[Member], count: int, chooser: random.Random
) -> list[Member]:
    """Returns some members, one of each failure domain in turn, in random order.

    :param count: how many members at the most.
    """
    by_domain: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.name):
        by_domain.setdefault(member.failure_domain, []).append(member)
    hands = [by_domain[domain] for domain in sorted(by_domain)]
    for hand in hands:
        chooser.shuffle(hand)
    chooser.shuffle(hands)
    dealt: list[Member] = []
    for index in range(max(map(len, hands), default=0)):
        dealt.extend(hand[index] for hand in hands if index < len(hand))
    return dealt[:count]
