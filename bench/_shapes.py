"""Load shapes: how many prompts of which kinds arrive, and when."""

from __future__ import annotations

import random

import attrs


@attrs.frozen
class PromptKind:
    """One kind of prompt in a load shape.

    :param tokens: mean tokens of a prompt; the sizes are log-normally distributed.
    :param spread: standard deviation of the logarithm of the sizes.
    :param max_tokens: tokens of the longest prompt; larger draws are cut to it.
    :param output_tokens: tokens to decode.
    :param target_s: latency objective for the first event, in seconds.
    :param gap_s: objective for the longest inter-token gap, in seconds.
    """

    name: str
    tokens: int
    spread: float
    max_tokens: int
    output_tokens: int
    target_s: float
    gap_s: float

    def draw_tokens(self, chooser: random.Random) -> int:
        """Draws the tokens of a prompt."""
        mu_shift = self.spread**2 / 2
        factor = chooser.lognormvariate(-mu_shift, self.spread)
        return max(100, min(self.max_tokens, int(self.tokens * factor)))


SHORT = PromptKind("short", 4960, 0.9, 23_800, 1600, 0.3, 0.2)
MEDIUM = PromptKind("medium", 45_000, 0.5, 110_000, 960, 1.5, 0.5)
LONG = PromptKind("long", 210_000, 0.55, 1_000_000, 800, 3.0, 0.8)


@attrs.frozen
class Shape:
    """A load shape: the arrivals per second of each kind, for some seconds."""

    name: str
    seconds: float
    rate_by_kind: tuple[tuple[PromptKind, float], ...]

    def draw_arrivals(self, chooser: random.Random) -> list[tuple[float, PromptKind]]:
        """Draws the prompts, each with the seconds from the start to its arrival."""
        arrivals = sorted(
            (arrival_s, index, kind)
            for index, (kind, rate) in enumerate(self.rate_by_kind)
            for arrival_s in _draw_times(chooser, rate, self.seconds)
        )
        return [(arrival_s, kind) for arrival_s, _, kind in arrivals]


CALM = Shape("calm", 12.0, ((SHORT, 19.8), (MEDIUM, 1.44), (LONG, 0.595)))
BURST = Shape("burst", 10.0, ((SHORT, 50.0), (MEDIUM, 0.7), (LONG, 0.03)))
LONG_PROMPTS = Shape("long-prompts", 12.0, ((SHORT, 6.5), (MEDIUM, 1.9), (LONG, 1.7)))
# The load is 1.5 times what the engines can prefill; the backlog is then drained.
OVERLOAD = Shape("overload", 5.0, ((SHORT, 10.0), (MEDIUM, 1.5), (LONG, 8.0)))
SHAPES = (CALM, BURST, LONG_PROMPTS, OVERLOAD)


def _draw_times(chooser: random.Random, rate: float, seconds: float) -> list[float]:
    times = []
    time_s = chooser.expovariate(rate)
    while time_s < seconds:
        times.append(time_s)
        time_s += chooser.expovariate(rate)
    return times
