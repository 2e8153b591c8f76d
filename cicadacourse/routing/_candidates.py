"""Which endpoints are asked about for one attempt."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from typing import Sequence

import attrs

from cicadacourse.endpoints import Endpoint
from cicadacourse.routing._model import PromptClass, Work
from cicadacourse.routing._parts import Parts
from cicadacourse.util.hashing import rank

AFFINE_CANDIDATES = 2
LONG_PART = 0.3
MEDIUM_PART = 0.5

HOME_CANDIDATES_BY_CLASS: dict[PromptClass, int] = {
    PromptClass.SHORT: 2,
    PromptClass.MEDIUM: 3,
    PromptClass.LONG: 6,
}

AWAY_PENALTIES_S: dict[PromptClass, dict[PromptClass, float]] = {
    PromptClass.SHORT: {PromptClass.MEDIUM: 0.8, PromptClass.LONG: 1.0},
    PromptClass.MEDIUM: {PromptClass.LONG: 1.0, PromptClass.SHORT: 2.0},
    PromptClass.LONG: {PromptClass.MEDIUM: 5.0},
}


@attrs.frozen
class Candidate:
    """One endpoint to ask about.

    :param penalty_s: added to its estimate because it is kept for other lengths.
    """

    endpoint: Endpoint
    penalty_s: float = 0.0


def homes_by_class(
    endpoints: Sequence[Endpoint],
) -> dict[PromptClass, list[Endpoint]]:
    """Returns the endpoints that are kept for each class of prompts.

    A step that prefills a chunk of a long prompt delays every answer that the engine
    decodes, so each class has a part of each failure domain's engines to itself.
    """
    by_domain: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in sorted(endpoints, key=lambda one: one.name):
        by_domain[endpoint.failure_domain].append(endpoint)
    homes: dict[PromptClass, list[Endpoint]] = defaultdict(list)
    for members in by_domain.values():
        long_end = math.ceil(len(members) * LONG_PART)
        medium_end = max(long_end, math.ceil(len(members) * MEDIUM_PART))
        homes[PromptClass.LONG] += members[:long_end]
        homes[PromptClass.MEDIUM] += members[long_end:medium_end]
        homes[PromptClass.SHORT] += members[medium_end:]
    return homes


def choose_candidates(
    work: Work,
    prompt_class: PromptClass,
    endpoints: Sequence[Endpoint],
    parts: Parts,
    rng: random.Random,
) -> list[Candidate]:
    """Returns a few endpoints, those first that probably hold the prompt's prefix.

    The first block alone would send all that share it to one endpoint, so the block
    half way ranks as well, and the probes' estimates bound the load.
    """
    if not parts.placement:
        return [Candidate(one) for one in _choose(work, endpoints, 3, parts, rng)]
    homes = homes_by_class(endpoints)
    count = HOME_CANDIDATES_BY_CLASS[prompt_class]
    chosen = _choose(work, homes[prompt_class], count, parts, rng)
    candidates = [Candidate(one) for one in chosen]
    for other, penalty_s in AWAY_PENALTIES_S[prompt_class].items():
        if homes[other]:
            candidates.append(Candidate(rng.choice(homes[other]), penalty_s))
    return candidates or [Candidate(rng.choice(endpoints))]


def _choose(
    work: Work,
    home: Sequence[Endpoint],
    count: int,
    parts: Parts,
    rng: random.Random,
) -> list[Endpoint]:
    by_name = {endpoint.name: endpoint for endpoint in home}
    names: list[str] = []
    if parts.affinity and work.prefix:
        middle = len(work.prefix) // 2
        for block in (work.prefix[0], work.prefix[middle]):
            names += rank(str(block), by_name)[:AFFINE_CANDIDATES]
    others = [name for name in by_name if name not in names]
    names += rng.sample(others, min(count, len(others)))
    return [by_name[name] for name in dict.fromkeys(names)]
