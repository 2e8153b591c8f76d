"""Decides which parts of prompts are suspected of crashing engines.

The expected load is requests with one bad part among many sound ones. An engine crashes
as soon as it begins to answer a prompt with the bad part; all that is in progress there
breaks off as well. A request that had got events can't be the cause. The parts of the
others are blamed: one that was in a successful request since the crash is sound, and
one that never was is more suspect than one that was before.
"""

from __future__ import annotations

from typing import Iterable, Mapping, Sequence

import attrs

# What a crash adds to the weight of a blamed part. Before the first byte of its
# response, a request is rather a victim than the cause.
BEGUN_WEIGHT = 1.0
WAITING_WEIGHT = 0.5
# A part that was sound before needs as much more weight as one crash gives.
SOUND_CREDIT = 1.0
# From these weights on, requests with a part are sent one at a time, or hardly at all.
SUSPECT_WEIGHT = 1.0
QUARANTINE_WEIGHT = 2.0
# How often all instances together send a request with a suspect part.
SUSPECT_INTERVAL_S = 2.0
# The same for a part in quarantine; it doubles with each further crash.
QUARANTINE_INTERVAL_S = 30.0
MAX_INTERVAL_S = 240.0


@attrs.frozen
class PartCrash:
    """A crash of an engine for which a part is blamed.

    :param id: identifies the crashed process.
    :param at: loop time in seconds.
    """

    id: int
    weight: float
    at: float


@attrs.frozen
class PartRecord:
    """What is known of one part.

    :param succeeded_at: when a request with it last succeeded, loop time in seconds, or
        None if none is known to have.
    """

    part: str
    crashes: tuple[PartCrash, ...] = ()
    succeeded_at: float | None = None

    @property
    def open_crashes(self) -> tuple[PartCrash, ...]:
        """The crashes since its last success."""
        if self.succeeded_at is None:
            return self.crashes
        return tuple(item for item in self.crashes if item.at > self.succeeded_at)

    @property
    def weight(self) -> float:
        """The weight of its crashes since its last success."""
        return sum(item.weight for item in self.open_crashes)


@attrs.frozen
class Verdict:
    """How strongly a part is suspected; parts without a verdict are not."""

    weight: float

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with the part are hardly sent at all."""
        return self.weight >= QUARANTINE_WEIGHT

    @property
    def trial_interval_s(self) -> float:
        """How often all instances together send a request with the part, in seconds."""
        if not self.is_quarantined:
            return SUSPECT_INTERVAL_S
        factor = 2.0 ** (self.weight - QUARANTINE_WEIGHT)
        return min(MAX_INTERVAL_S, QUARANTINE_INTERVAL_S * factor)


def judge(records: Iterable[PartRecord]) -> dict[str, Verdict]:
    """Returns the verdicts on the parts that are suspected, by part.

    A crash that a part in quarantine explains doesn't count against parts of less
    weight: their requests were in progress there by chance.
    """
    open_by_part = {
        item.part: {crash.id: crash.weight for crash in item.open_crashes}
        for item in records
    }
    credit_by_part = {
        item.part: SOUND_CREDIT if item.succeeded_at is not None else 0.0
        for item in records
    }
    verdict_by_part: dict[str, Verdict] = {}
    explained: set[int] = set()
    while open_by_part:
        weight_by_part = {
            part: _unexplained(crashes, explained) - credit_by_part[part]
            for part, crashes in open_by_part.items()
        }
        heaviest = max(weight_by_part.values())
        if heaviest < SUSPECT_WEIGHT:
            break
        found = [part for part, weight in weight_by_part.items() if weight == heaviest]
        for part in found:
            verdict_by_part[part] = Verdict(heaviest)
            crashes = open_by_part.pop(part)
            if heaviest >= QUARANTINE_WEIGHT:
                explained |= crashes.keys()
    return verdict_by_part


def choose_blamed(records: Sequence[PartRecord], has_begun: bool) -> list[str]:
    """Returns the parts of one prompt that are blamed for the crash of its engine.

    All of them are if the response had begun: successes clear those that are sound. If
    not, only those are that are not known to have been in a successful request.

    :param records: what is known of each shared part of the prompt.
    :param has_begun: whether the response had begun.
    """
    return [item.part for item in records if has_begun or item.succeeded_at is None]


def _unexplained(crashes: Mapping[int, float], explained: set[int]) -> float:
    return sum(weight for id, weight in crashes.items() if id not in explained)
