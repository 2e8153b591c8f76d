"""Crashes and successes under one kind of keys, as facts that all instances share."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from typing import Iterable

import attrs

from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind
from cicadacourse.quarantine._verdicts import Crash, CrashRecord
from cicadacourse.util.clock import now

PART_CRASH = "part-crash"
PART_SUCCESS = "part-success"
# Kinds of their own, which releases that know only parts leave out.
REQUEST_CRASH = "request-crash"
REQUEST_SUCCESS = "request-success"
# Longer than the longest interval between trials, so that a part that still crashes
# engines is not forgotten in between.
LIFETIME_S = 600.0
MAX_FACTS = 1000
for crash_kind in (PART_CRASH, REQUEST_CRASH):
    FACT_KINDS.register(crash_kind)(
        FactKind(LIFETIME_S, MAX_FACTS, is_latest_only=False)
    )
for success_kind in (PART_SUCCESS, REQUEST_SUCCESS):
    FACT_KINDS.register(success_kind)(
        FactKind(LIFETIME_S, MAX_FACTS, is_latest_only=True)
    )
# Bounds the memory of keys that were in successful requests of this instance.
MAX_SOUND_KEYS = 10_000
# Instances that know of a success tell it after a random time up to this, and only if
# no other one did before.
MAX_VINDICATION_DELAY_S = 0.05
# Successes that are known to be this recent are not told again.
SUCCESS_NEWS_S = 1.0


@attrs.define(eq=False)
class Ledger:
    """The crashes and successes under the keys of one kind.

    :param crash_kind: the kind of the facts that blame a key for a crash.
    :param success_kind: the kind of the facts that a request with a key succeeded.
    """

    evidence: Evidence
    crash_kind: str
    success_kind: str
    _succeeded_at_by_key: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    def __len__(self) -> int:
        """Returns the number of keys with a success at this instance."""
        return len(self._succeeded_at_by_key)

    def records(self) -> list[CrashRecord]:
        """Returns the records of all keys that are blamed for a crash."""
        return [self.record_of(key) for key in self.evidence.keys(self.crash_kind)]

    def record_of(self, key: str) -> CrashRecord:
        """Returns what is known of a key."""
        crashes = self.evidence.find(self.crash_kind, key)
        return CrashRecord(
            key,
            tuple(Crash(item.id, item.value, item.observed_at) for item in crashes),
            self._succeeded_at(key),
        )

    def blamed_at(self, key: str) -> float:
        """Returns when a key was last blamed, loop time in seconds."""
        crashes = self.evidence.find(self.crash_kind, key)
        return max((item.observed_at for item in crashes), default=float("-inf"))

    def record_crash(self, keys: Iterable[str], weight: float, crash_id: int) -> None:
        """Blames keys for a crash, and tells the former successes with them."""
        for key in keys:
            self.evidence.publish(self.crash_kind, key, weight, crash_id)
            self._tell_success(key)

    def record_success(self, keys: Iterable[str]) -> None:
        """Records that a request with these keys has succeeded."""
        for key in keys:
            self._succeeded_at_by_key[key] = now()
            self._succeeded_at_by_key.move_to_end(key)
            if self.evidence.find(self.crash_kind, key):
                self._tell_success(key)
        while len(self._succeeded_at_by_key) > MAX_SOUND_KEYS:
            self._succeeded_at_by_key.popitem(last=False)

    def tell_success_later(self, fact: Fact) -> None:
        """Tells other instances of a success with a key that one of them blames."""
        if fact.key in self._succeeded_at_by_key:
            delay_s = random.uniform(0.0, MAX_VINDICATION_DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._tell_success, fact.key)

    def _succeeded_at(self, key: str) -> float | None:
        """Returns when a request with a key last succeeded at any instance."""
        facts = self.evidence.find(self.success_kind, key)
        times = [item.observed_at for item in facts]
        own = self._succeeded_at_by_key.get(key)
        if own is not None and now() - own < LIFETIME_S:
            times.append(own)
        return max(times, default=None)

    def _tell_success(self, key: str) -> None:
        """Tells other instances of a key's last success here, unless one is known.

        A success that is later than a crash clears the key; an earlier one makes it
        less suspect.
        """
        succeeded_at = self._succeeded_at_by_key.get(key)
        if succeeded_at is None or now() - succeeded_at >= LIFETIME_S:
            return
        known = [
            item.observed_at for item in self.evidence.find(self.success_kind, key)
        ]
        crashed = [
            item.observed_at for item in self.evidence.find(self.crash_kind, key)
        ]
        latest = max(known, default=float("-inf"))
        is_clearing = any(latest < at < succeeded_at for at in crashed)
        if is_clearing or succeeded_at > latest + SUCCESS_NEWS_S:
            self.evidence.publish(self.success_kind, key, observed_at=succeeded_at)
