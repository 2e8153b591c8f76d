"""Estimates the cost of a choice of engines as the latency objectives that it violates.

The unit of cost is one short stream that misses its objective. The expected load is
described in :mod:`cicadacourse.placement._engines`.
"""

from __future__ import annotations

import itertools
from typing import Sequence

import attrs

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._model import Candidate, PlacementRequest, ReservationPlan

# Cost of each helper, in short streams that miss their objective.
HELPER_COST = 0.01
# Tokens of a prompt, or of the context on an engine, that weigh as much as one short
# stream.
SHORT_PROMPT_TOKENS = 12_500
# Shares of the latency objective: a first event that is estimated to come within the
# safe share is certainly in time, one beyond the late share is certainly late.
SAFE_TARGET_SHARE = 0.55
LATE_TARGET_SHARE = 0.9
# Weight of an earlier first event, relative to meeting the objective.
URGENCY_WEIGHT = 0.05
# A stream certainly violates its inter-token objective if prefill exceeds what it
# tolerates by this much.
CERTAIN_VIOLATION_S = 0.04
# Growth of the cost once a stream is certainly late: per latency objective of further
# delay to its first event, or per second of further delay to its tokens.
BEYOND_LATE_SLOPE = 0.1
# Lower bound of the remaining objective, so that shares of it stay finite.
MIN_TARGET_S = 0.05
# Part of each inter-token gap that is left unused, for network delays and errors of the
# time model.
GAP_MARGIN_S = 0.03
# Seconds of prefill, the backlog included, that an engine without streams is taken to
# allow.
MAX_IDLE_PREFILL_S = 4.0


@attrs.frozen
class EngineChoice:
    """Engines for one prompt.

    :param decode_engine: prefills its part and decodes the response.
    :param helpers: engines that prefill equal parts.
    :param prefill_s: seconds of prefill at each engine.
    :param first_event_s: estimated seconds to the first event.
    :param reservation_plans: KV cache to reserve on helpers, if the decode engine has
        too little.
    """

    decode_engine: Candidate
    helpers: tuple[Candidate, ...]
    prefill_s: float
    first_event_s: float
    reservation_plans: tuple[ReservationPlan, ...] = ()


def estimate_cost(
    request: PlacementRequest, profile: EngineProfile, choice: EngineChoice
) -> float:
    """Returns the cost of a choice, in short streams that miss their objective.

    A long prompt counts as several short ones, by its tokens.
    """
    own_cost = _own_cost(request, choice.first_event_s)
    helpers = HELPER_COST * len(choice.helpers)
    return own_cost + violation_cost(profile, choice) + helpers


def _own_cost(request: PlacementRequest, first_event_s: float) -> float:
    """Returns the cost of a request's own first event after some seconds."""
    own_weight = request_weight(request)
    target_share = first_event_s / max(request.target_s, MIN_TARGET_S)
    late_share = _ramp(target_share, SAFE_TARGET_SHARE, LATE_TARGET_SHARE)
    urgency = URGENCY_WEIGHT * target_share * own_weight
    return late_share * own_weight + urgency


@attrs.frozen
class SplitCosts:
    """The costs of splitting one prompt over the first engines of a sequence.

    What depends on an engine alone is computed once, not for each number of engines: a
    burst of long prompts asks for this many times a second.
    """

    _request: PlacementRequest
    _total_prefill_s: float
    _allowed_s: tuple[float, ...]
    _weights: tuple[float, ...]
    _slowest_s: tuple[float, ...]

    @classmethod
    def estimate(
        cls,
        request: PlacementRequest,
        profile: EngineProfile,
        engines: Sequence[Candidate],
    ) -> SplitCosts:
        """Returns the costs for engines, of which the first one decodes."""
        first_events_s = [
            estimate_first_event_s(profile, item, 0.0) for item in engines
        ]
        return cls(
            request,
            profile.prefill_s(request.prompt_tokens),
            tuple(allowed_prefill_s(profile, item) for item in engines),
            tuple(_streams_weight(item) for item in engines),
            tuple(itertools.accumulate(first_events_s, max)),
        )

    def prefill_s(self, count: int) -> float:
        """Returns the seconds of prefill at each of a number of engines."""
        return self._total_prefill_s / count

    def first_event_s(self, count: int) -> float:
        """Returns the estimated seconds to the first event."""
        return self._slowest_s[count - 1] + self.prefill_s(count)

    def cost(self, count: int) -> float:
        """Returns the cost of a split; see :func:`estimate_cost`."""
        prefill_s = self.prefill_s(count)
        violations = sum(
            _ramp(prefill_s - allowed_s, 0.0, CERTAIN_VIOLATION_S) * weight
            for allowed_s, weight in zip(self._allowed_s[:count], self._weights)
        )
        own_cost = _own_cost(self._request, self.first_event_s(count))
        return own_cost + violations + HELPER_COST * (count - 1)


def request_weight(request: PlacementRequest) -> float:
    """Returns the weight of a request that meets its objective, in short streams."""
    return 1 + request.prompt_tokens / SHORT_PROMPT_TOKENS


def violation_cost(profile: EngineProfile, choice: EngineChoice) -> float:
    """Returns the cost of the streams in progress that a choice makes late.

    The unit is one short stream. The cost is 0 if no stream's inter-token objective is
    at risk.
    """
    return sum(
        _ramp(
            choice.prefill_s - allowed_prefill_s(profile, item),
            0.0,
            CERTAIN_VIOLATION_S,
        )
        * _streams_weight(item)
        for item in (choice.decode_engine, *choice.helpers)
    )


def _ramp(value: float, low: float, high: float) -> float:
    """Returns 0 up to ``low``, rises to 1 at ``high`` and more slowly beyond it."""
    if value <= low:
        return 0.0
    if value >= high:
        return 1.0 + BEYOND_LATE_SLOPE * (value - high)
    return (value - low) / (high - low)


def _streams_weight(candidate: Candidate) -> float:
    """Returns the weight of the streams on an engine, in short streams."""
    load = candidate.load
    return load.decode_streams + load.context_tokens / SHORT_PROMPT_TOKENS


def allowed_prefill_s(profile: EngineProfile, candidate: Candidate) -> float:
    """Returns the seconds of prefill that an engine can add without late streams.

    The value is negative if its streams have no slack left.
    """
    load = candidate.load
    if load.shortest_gap_s is None:
        return MAX_IDLE_PREFILL_S - load.backlog_s
    pass_s = profile.pass_s(load.decode_streams, load.context_tokens)
    return load.shortest_gap_s - pass_s - load.backlog_s - GAP_MARGIN_S


def estimate_first_event_s(
    profile: EngineProfile, candidate: Candidate, prefill_s: float
) -> float:
    """Returns the estimated seconds to the first event of a request.

    On average half of the running pass is left. The backlog, the request's own prefill
    and its first pass follow.
    """
    load = candidate.load
    running_s = profile.pass_s(load.decode_streams, load.context_tokens) / 2
    own_s = profile.pass_s(load.decode_streams + 1, load.context_tokens)
    return running_s + load.backlog_s + prefill_s + own_s
