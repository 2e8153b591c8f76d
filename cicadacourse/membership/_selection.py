"""Chooses members of as many failure domains as possible."""

from __future__ import annotations

import random
from typing import Iterable

from cicadacourse.membership._model import Member


def choose_across_domains(
    members: Iterable[Member], count: int, chooser: random.Random
) -> list[Member]:
    """Returns random members, one of each failure domain in turn.

    :param count: the largest number of members to return.
    :param chooser: the source of randomness.
    """
    by_domain: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.name):
        by_domain.setdefault(member.failure_domain, []).append(member)
    groups = [by_domain[domain] for domain in sorted(by_domain)]
    for group in groups:
        chooser.shuffle(group)
    chooser.shuffle(groups)
    chosen: list[Member] = []
    for index in range(max(map(len, groups), default=0)):
        chosen.extend(group[index] for group in groups if index < len(group))
    return chosen[:count]
