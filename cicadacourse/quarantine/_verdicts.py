"""Decides which parts of prompts and which requests are suspected of crashes.

The expected load is requests with one bad part, or one bad request that comes again,
among many sound ones. An engine crashes as soon as it begins to answer a prompt with
the bad part, an endpoint as soon as it begins to run the bad request; all that is in
progress there breaks off as well. A request that had got events can't be the cause. The
others are blamed: one that succeeded since the crash is sound, and one that never did
is more suspect than one that did before.
"""

from __future__ import annotations

from collections import Counter
from typing import Iterable, Mapping, Sequence

import attrs

# What a crash adds to the weight of a blamed part. Before the first byte of its
# response, a request is rather a victim than the cause.
BEGUN_WEIGHT = 1.0
WAITING_WEIGHT = 0.5
# The same for a request: two crashes under one are hardly by chance.
REQUEST_WEIGHT = 1.0
# A key that was sound before needs as much more weight as one crash gives.
SOUND_CREDIT = 1.0
# From these weights on, requests with a key are sent one at a time, or hardly at all.
SUSPECT_WEIGHT = 1.0
QUARANTINE_WEIGHT = 2.0
# How often all instances together send a request with a suspect part.
SUSPECT_INTERVAL_S = 2.0
# How often they send a request of one turn. Its outcome is mostly known sooner: an
# endpoint ends soon after it has begun to run a bad one.
TURN_INTERVAL_S = 1.0
# The same for all requests that waited at the same crashes, as there are several.
RIVALS_INTERVAL_S = 0.5
# The same for a key in quarantine; it doubles with each further crash.
QUARANTINE_INTERVAL_S = 30.0
MAX_INTERVAL_S = 240.0


@attrs.frozen
class Crash:
    """A crash of an endpoint for which a key is blamed.

    :param id: identifies the crashed process.
    :param at: loop time in seconds.
    """

    id: int
    weight: float
    at: float


@attrs.frozen
class CrashRecord:
    """What is known of one key.

    :param key: a part of prompts, or a request.
    :param succeeded_at: when a request with it last succeeded, loop time in seconds, or
        None if none is known to have.
    """

    key: str
    crashes: tuple[Crash, ...] = ()
    succeeded_at: float | None = None

    @property
    def weight_by_crash(self) -> dict[int, float]:
        """The weights of the crashes since its last success, by their ids."""
        since = float("-inf") if self.succeeded_at is None else self.succeeded_at
        return {item.id: item.weight for item in self.crashes if item.at > since}

    @property
    def credit(self) -> float:
        """The weight that doesn't count against it."""
        return 0.0 if self.succeeded_at is None else SOUND_CREDIT


@attrs.frozen
class Verdict:
    """How strongly a key is suspected; keys without a verdict are not.

    :param turn: the requests with the same turn are sent one at a time, the first one
        at once, until the outcome of one of them is known; None if that is of no use.
    """

    weight: float
    turn: str | None = None

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with the key are hardly sent at all."""
        return self.turn is None and self.weight >= QUARANTINE_WEIGHT

    @property
    def trial_interval_s(self) -> float:
        """How often all instances together send a request with the key, in seconds."""
        if self.turn is not None:
            is_rival = self.weight >= QUARANTINE_WEIGHT
            return RIVALS_INTERVAL_S if is_rival else TURN_INTERVAL_S
        if self.weight < QUARANTINE_WEIGHT:
            return SUSPECT_INTERVAL_S
        factor = 2.0 ** (self.weight - QUARANTINE_WEIGHT)
        return min(MAX_INTERVAL_S, QUARANTINE_INTERVAL_S * factor)


def judge(
    parts: Iterable[CrashRecord], requests: Iterable[CrashRecord] = ()
) -> dict[str, Verdict]:
    """Returns the verdicts on the keys that are suspected, by key.

    A crash that a key in quarantine explains doesn't count against keys of less weight:
    their requests were in progress there by chance. A part of a request in quarantine
    may be the cause, too, if its prompts had begun or if it has further crashes.
    """
    requests = list(requests)
    parts = [item for item in parts if not _is_explained(item, requests)]
    explained: set[int] = set()
    verdict_by_part = _judge_parts(_Cases(parts, explained))
    return verdict_by_part | _judge_requests(_Cases(requests, explained))


def choose_blamed(records: Sequence[CrashRecord], has_begun: bool) -> list[str]:
    """Returns the parts of one prompt that are blamed for the crash of its engine.

    All of them are if the response had begun: successes clear those that are sound. If
    not, only those are that are not known to have been in a successful request.

    :param records: what is known of each shared part of the prompt.
    :param has_begun: whether the response had begun.
    """
    return [item.key for item in records if has_begun or item.succeeded_at is None]


def _is_explained(part: CrashRecord, requests: Sequence[CrashRecord]) -> bool:
    """Returns whether one request in quarantine explains all crashes of a part.

    Those of a prompt that had begun to be answered count nevertheless.
    """
    weight_by_crash = part.weight_by_crash
    if max(weight_by_crash.values(), default=0.0) > WAITING_WEIGHT:
        return False
    return any(
        len(item.weight_by_crash) >= QUARANTINE_WEIGHT
        and weight_by_crash.keys() <= item.weight_by_crash.keys()
        for item in requests
    )


class _Cases:
    """The keys that are not judged yet.

    :ivar explained: the crashes that don't count any more.
    """

    def __init__(self, records: Iterable[CrashRecord], explained: set[int]) -> None:
        records = list(records)
        self.explained = explained
        self._open_by_key = {item.key: item.weight_by_crash for item in records}
        self._credit_by_key = {item.key: item.credit for item in records}

    def weight_by_key(self, has_credit: bool = True) -> dict[str, float]:
        """Returns the weights of the crashes that nothing explains yet.

        :param has_credit: whether the credit of a former success is taken off.
        """
        weight_by_key = {}
        for key, weights in self._open_by_key.items():
            open_weights = (w for id, w in weights.items() if id not in self.explained)
            credit = self._credit_by_key[key] if has_credit else 0.0
            weight_by_key[key] = sum(open_weights) - credit
        return weight_by_key

    def take_heaviest(self, least: float) -> tuple[float, dict[str, set[int]]]:
        """Takes out the keys of the greatest weight, if it is ``least`` or more.

        :returns: their weight, and the ids of their unexplained crashes by key.
        """
        weight_by_key = self.weight_by_key()
        heaviest = max(weight_by_key.values(), default=0.0)
        if heaviest < least:
            return heaviest, {}
        keys = [key for key, weight in weight_by_key.items() if weight == heaviest]
        return heaviest, {
            key: self._open_by_key.pop(key).keys() - self.explained for key in keys
        }


def _judge_parts(cases: _Cases) -> dict[str, Verdict]:
    verdict_by_part: dict[str, Verdict] = {}
    while True:
        weight, crashes_by_part = cases.take_heaviest(SUSPECT_WEIGHT)
        if not crashes_by_part:
            return verdict_by_part
        for part, crashes in crashes_by_part.items():
            verdict_by_part[part] = Verdict(weight)
            if weight >= QUARANTINE_WEIGHT:
                cases.explained |= crashes


def _judge_requests(cases: _Cases) -> dict[str, Verdict]:
    verdict_by_key: dict[str, Verdict] = {}
    while True:
        weight, crashes_by_key = cases.take_heaviest(QUARANTINE_WEIGHT)
        if not crashes_by_key:
            break
        turn_by_key = _find_rivals(crashes_by_key)
        for key, crashes in crashes_by_key.items():
            verdict_by_key[key] = Verdict(weight, turn_by_key.get(key))
            if key not in turn_by_key:
                cases.explained |= crashes
    for key, weight in cases.weight_by_key(has_credit=False).items():
        if weight >= SUSPECT_WEIGHT:
            verdict_by_key[key] = Verdict(weight, turn=key)
    return verdict_by_key


def _find_rivals(crashes_by_key: Mapping[str, set[int]]) -> dict[str, str]:
    """Returns the turns of keys of one weight that share a crash, by key.

    One of them is the cause, and the others were there by chance.
    """
    counts = Counter(id for crashes in crashes_by_key.values() for id in crashes)
    turn_by_key = {}
    for key, crashes in crashes_by_key.items():
        shared = [id for id in crashes if counts[id] > 1]
        if shared:
            turn_by_key[key] = f"crash:{min(shared):x}"
    return turn_by_key
