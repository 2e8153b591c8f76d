"""One observation, and the kinds of observations."""

from __future__ import annotations

from typing import Callable

import attrs

from cicadacourse.registry import Registry


@attrs.frozen
class FactKind:
    """A kind of observations.

    :param lifetime_s: after how many seconds an observation no longer counts.
    :param max_facts: the oldest ones beyond this number are dropped.
    :param is_latest_only: whether a later observation of a key replaces earlier ones.
    :param check_key: raises ValueError if a key is none of this kind.
    """

    lifetime_s: float
    max_facts: int
    is_latest_only: bool
    check_key: Callable[[str], object] = len


FACT_KINDS: Registry[FactKind] = Registry("kind of facts")


@attrs.frozen
class Fact:
    """One observation of one instance.

    :param kind: the name under which its :class:`FactKind` is registered.
    :param key: what was observed.
    :param id: the same at all instances; two facts with one id are the same fact.
    :param value: its meaning depends on the kind.
    :param observed_at: loop time in seconds. At other instances it is later by the time
        that the messages took.
    """

    kind: str
    key: str
    id: int
    value: float
    observed_at: float

    @property
    def identity(self) -> tuple[str, str, int]:
        """What distinguishes a fact from all others."""
        return (self.kind, self.key, self.id)
