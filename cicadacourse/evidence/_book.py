"""The facts that one instance knows, its own and those of other instances."""

from __future__ import annotations

from collections import defaultdict

from cicadacourse.evidence._model import FACT_KINDS, Fact


class FactBook:
    """Keeps facts by kind and key, within the bounds of their kinds.

    Adding the same facts in any order and any number of times gives the same book.
    """

    def __init__(self) -> None:
        self._facts_by_key: dict[tuple[str, str], dict[int, Fact]] = defaultdict(dict)
        self._keys_by_kind: dict[str, dict[str, None]] = defaultdict(dict)

    def __len__(self) -> int:
        """Returns the number of keys of which there are facts."""
        return len(self._facts_by_key)

    def add(self, fact: Fact, now_s: float) -> bool:
        """Adds a fact and returns whether it changes what is known."""
        kind = FACT_KINDS.get(fact.kind)
        if now_s - fact.observed_at >= kind.lifetime_s:
            return False
        known = self._facts_by_key.get((fact.kind, fact.key), {})
        if fact.id in known:
            return False
        if kind.is_latest_only and known:
            (latest,) = known.values()
            if not _is_later(fact, latest):
                return False
            known.clear()
        self._facts_by_key[fact.kind, fact.key][fact.id] = fact
        self._keys_by_kind[fact.kind][fact.key] = None
        if self._count(fact.kind) > kind.max_facts:
            self._drop_oldest(fact.kind)
        return True

    def find(self, kind: str, key: str, now_s: float) -> list[Fact]:
        """Returns the facts of a key that still count."""
        lifetime_s = FACT_KINDS.get(kind).lifetime_s
        facts = self._facts_by_key.get((kind, key), {}).values()
        return [item for item in facts if now_s - item.observed_at < lifetime_s]

    def keys(self, kind: str) -> list[str]:
        """Returns the keys of which there are facts of a kind."""
        return list(self._keys_by_kind.get(kind, ()))

    def all(self, now_s: float) -> list[Fact]:
        """Returns the facts that still count, and drops the expired ones."""
        for fact in self._facts():
            if now_s - fact.observed_at >= FACT_KINDS.get(fact.kind).lifetime_s:
                self.remove(fact)
        return self._facts()

    def remove(self, fact: Fact) -> None:
        """Removes a fact, if it is known."""
        facts = self._facts_by_key.get((fact.kind, fact.key), {})
        facts.pop(fact.id, None)
        if not facts:
            self._facts_by_key.pop((fact.kind, fact.key), None)
            self._keys_by_kind[fact.kind].pop(fact.key, None)

    def _facts(self, kind: str | None = None) -> list[Fact]:
        return [
            fact
            for facts in self._facts_by_key.values()
            for fact in facts.values()
            if kind is None or fact.kind == kind
        ]

    def _count(self, kind: str) -> int:
        keys = self._keys_by_kind[kind]
        return sum(len(self._facts_by_key[kind, key]) for key in keys)

    def _drop_oldest(self, kind: str) -> None:
        self.remove(min(self._facts(kind), key=lambda item: item.observed_at))


def _is_later(fact: Fact, other: Fact) -> bool:
    return (fact.observed_at, fact.id) > (other.observed_at, other.id)
