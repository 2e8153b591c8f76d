"""The requests of a load: when they come, from whom, and how long they are."""

from __future__ import annotations

import math
import random

import attrs

from cicadacourse.util.tokens import BYTES_PER_TOKEN

MIN_PROMPT_TOKENS = 1_000
MAX_PROMPT_TOKENS = 1_000_000
MEDIAN_PROMPT_TOKENS = 2_500
SPREAD = 1.7

FLOODER = "org0"
FLOOD_PROMPT_TOKENS = (1_000, 8_000)

TIME_LIMITS_S = ((8_000, 30.0), (32_000, 60.0), (400_000, 180.0))
HUGE_TIME_LIMIT_S = 300.0


@attrs.frozen(kw_only=True)
class LoadSettings:
    """The stated load.

    :param rate: requests a second outside bursts and the flood.
    :param burst_factor: how much more come in the first ``burst_s`` of each
        ``burst_period_s`` seconds.
    :param flood_rate: further short requests a second of the organisation that
        floods, for the middle tenth of the time.
    :param weights: the organisations' shares; the first one floods.
    :param shared_part: share of the prompts that begin with a shared document.
    :param flood_time_limit_s: time limit of the flood's requests.
    :param huge: prompts of a million tokens that come at set times besides.
    """

    rate: float = 20.0
    burst_factor: float = 2.5
    burst_s: float = 2.0
    burst_period_s: float = 10.0
    flood_rate: float = 25.0
    weights: tuple[float, ...] = (5, 4, 3, 1, 1, 1, 1, 1, 1, 1)
    shared_part: float = 0.5
    documents_per_organisation: int = 4
    huge: int = 2
    flood_time_limit_s: float = 30.0


OVERLOAD = LoadSettings(flood_rate=500.0, flood_time_limit_s=3.0)


@attrs.frozen(kw_only=True)
class Arrival:
    """One request of the load.

    :param at_s: seconds from the start of the load.
    :param document: the shared document that the prompt begins with, or empty.
    :param shared_tokens: how many tokens of the document it begins with.
    """

    name: str
    at_s: float
    organisation: str
    prompt_tokens: int
    output_tokens: int
    time_limit_s: float
    document: str = ""
    shared_tokens: int = 0

    def prompt(self) -> str:
        """Returns the prompt's text, alike on each call."""
        shared = _fill(self.document, self.shared_tokens) if self.document else ""
        return shared + _fill(self.name, self.prompt_tokens - self.shared_tokens)


def make_arrivals(
    settings: LoadSettings, seconds: float, seed: int
) -> tuple[Arrival, ...]:
    """Returns the requests of a load in order of time."""
    rng = random.Random(seed)
    times = [(at_s, "") for at_s in _poisson(settings, seconds, rng)]
    flooded_s = seconds / 10
    count = int(settings.flood_rate * flooded_s)
    flood = [(rng.uniform(4.5, 5.5) * flooded_s, FLOODER) for _ in range(count)]
    arrivals = [
        _arrival(index, at_s, organisation, settings, rng)
        for index, (at_s, organisation) in enumerate(sorted(times + flood))
    ]
    arrivals += [
        _huge(index, seconds * (index + 1) / (settings.huge + 2))
        for index in range(settings.huge)
    ]
    return tuple(sorted(arrivals, key=lambda one: one.at_s))


def _poisson(settings: LoadSettings, seconds: float, rng: random.Random) -> list[float]:
    """Returns arrival times of a Poisson process with bursts, by thinning."""
    highest = settings.rate * settings.burst_factor
    times = []
    at_s = rng.expovariate(highest)
    while at_s < seconds:
        in_burst = at_s % settings.burst_period_s < settings.burst_s
        if in_burst or rng.random() < 1 / settings.burst_factor:
            times.append(at_s)
        at_s += rng.expovariate(highest)
    return times


def _arrival(
    index: int, at_s: float, flooder: str, settings: LoadSettings, rng: random.Random
) -> Arrival:
    number = rng.choices(range(len(settings.weights)), settings.weights)[0]
    organisation = flooder or f"org{number}"
    prompt_tokens = rng.randint(*FLOOD_PROMPT_TOKENS) if flooder else 0
    while not MIN_PROMPT_TOKENS <= prompt_tokens <= MAX_PROMPT_TOKENS:
        prompt_tokens = int(rng.lognormvariate(math.log(MEDIAN_PROMPT_TOKENS), SPREAD))
    time_limit_s = _time_limit_s(prompt_tokens)
    if flooder:
        time_limit_s = settings.flood_time_limit_s
    document = rng.randrange(settings.documents_per_organisation)
    is_shared = rng.random() < settings.shared_part
    return Arrival(
        name=f"r{index}",
        at_s=at_s,
        organisation=organisation,
        prompt_tokens=prompt_tokens,
        output_tokens=rng.randint(20, 120),
        time_limit_s=time_limit_s,
        document=f"{organisation}-{document}" if is_shared else "",
        shared_tokens=int(prompt_tokens * 0.75) if is_shared else 0,
    )


def _huge(index: int, at_s: float) -> Arrival:
    return Arrival(
        name=f"huge{index}",
        at_s=at_s,
        organisation=f"org{index}",
        prompt_tokens=MAX_PROMPT_TOKENS,
        output_tokens=100,
        time_limit_s=HUGE_TIME_LIMIT_S,
    )


def _time_limit_s(prompt_tokens: int) -> float:
    for below, limit_s in TIME_LIMITS_S:
        if prompt_tokens < below:
            return limit_s
    return HUGE_TIME_LIMIT_S


def _fill(name: str, tokens: int) -> str:
    """Returns text of that many tokens that depends on the name throughout."""
    size = tokens * BYTES_PER_TOKEN
    unit = f"{name} "
    return (unit * (size // len(unit) + 1))[:size]
