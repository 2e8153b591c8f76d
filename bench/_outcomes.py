"""The latencies of prompts, and whether they met the objectives."""

from __future__ import annotations

from typing import Sequence

import attrs

from bench._shapes import PromptKind


@attrs.frozen
class Outcome:
    """The latencies of one prompt.

    :param first_event_s: seconds from the arrival to the first event; infinite if the
        prompt was not served.
    :param longest_gap_s: the longest inter-token gap in seconds.
    :param is_in_time: whether both latency objectives were met.
    """

    kind: str
    first_event_s: float
    longest_gap_s: float
    is_in_time: bool


@attrs.frozen
class Result:
    """The outcomes of all prompts of a replay."""

    outcomes: tuple[Outcome, ...]

    def share_in_time(self, kind: str) -> float:
        """Returns the share of a kind's prompts that met both objectives."""
        own = [item.is_in_time for item in self.outcomes if item.kind == kind]
        return sum(own) / len(own) if own else 1.0


def make_outcome(kind: PromptKind, arrived: float, times: Sequence[float]) -> Outcome:
    """Returns the outcome of one prompt.

    :param arrived: when it arrived, loop time in seconds.
    :param times: when its events were made, loop times in seconds; none if it was not
        served.
    """
    if not times:
        return Outcome(kind.name, float("inf"), 0.0, False)
    first_s = times[0] - arrived
    gaps = [later - earlier for earlier, later in zip(times, times[1:])]
    longest_s = max(gaps, default=0.0)
    in_time = first_s <= kind.target_s and longest_s <= kind.gap_s
    return Outcome(kind.name, first_s, longest_s, in_time)
