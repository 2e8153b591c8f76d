"""Selects the facts that go with an instance's next load report.

A new fact goes with several reports, at growing intervals, so that lost datagrams do
not keep it from an instance. Each instance repeats the facts that it receives as well.
All known facts are repeated in turn, which tells them to instances that started later.
"""

from __future__ import annotations

import attrs

from cicadacourse.evidence._model import Fact

# When a new fact is sent again, in seconds after it became known here.
REPEAT_TIMES_S = (0.0, 0.1, 0.3, 0.7)
# How often known facts are repeated, and how many of them at a time.
REFRESH_PERIOD_S = 1.0
REFRESH_FACTS = 8
# Bounds the size of one report's facts.
MAX_FACTS = 24
# Bounds the memory while no report is sent, as there is no other instance.
MAX_NEWS = 1000


@attrs.define
class _News:
    """A fact that was learned at a loop time, and how often it was sent since."""

    fact: Fact
    learned_at: float
    sent: int = 0

    def is_due(self, now_s: float) -> bool:
        return now_s >= self.learned_at + REPEAT_TIMES_S[self.sent]


class Dissemination:
    """The facts that are still news here, and whose turn it is among the known ones."""

    def __init__(self) -> None:
        self._news_by_identity: dict[tuple[str, str, int], _News] = {}
        self._next_refresh_s = float("-inf")
        self._turn = 0

    def add(self, fact: Fact, now_s: float) -> None:
        """Adds a fact that has just become known here."""
        self._news_by_identity[fact.identity] = _News(fact, now_s)
        if len(self._news_by_identity) > MAX_NEWS:
            del self._news_by_identity[next(iter(self._news_by_identity))]

    def select(self, known: list[Fact], now_s: float) -> list[Fact]:
        """Returns the facts to send now; each call counts as sending them.

        :param known: all facts that still count.
        """
        identities = {fact.identity for fact in known}
        due = [item for item in self._news_by_identity.values() if item.is_due(now_s)][
            :MAX_FACTS
        ]
        for item in due:
            item.sent += 1
            is_superseded = item.fact.identity not in identities
            if is_superseded or item.sent == len(REPEAT_TIMES_S):
                del self._news_by_identity[item.fact.identity]
        facts = [item.fact for item in due if item.fact.identity in identities]
        return facts + self._refreshed(known, now_s, MAX_FACTS - len(facts))

    def _refreshed(self, known: list[Fact], now_s: float, most: int) -> list[Fact]:
        if not known or now_s < self._next_refresh_s:
            return []
        self._next_refresh_s = now_s + REFRESH_PERIOD_S
        count = min(REFRESH_FACTS, most, len(known))
        chosen = [known[(self._turn + n) % len(known)] for n in range(count)]
        self._turn = (self._turn + count) % len(known)
        return chosen
