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
HOME_CANDIDATES = 2
OTHER_CANDIDATES = 1
AWAY_PENALTY_S = 0.3

LONG_PART = 0.3
MEDIUM_PART = 0.5


@attrs.frozen
class Candidate:
    """One endpoint to ask about.

    :param penalty_s: added to its estimate because it is kept for other lengths.
    """

    endpoint: Endpoint
    penalty_s: float = 0.0


def home_endpoints(
    prompt_class: PromptClass, endpoints: Sequence[Endpoint]
) -> list[Endpoint]:
    """Returns the endpoints that are kept for a class of prompts.

    A step that prefills a chunk of a long prompt delays every answer that the engine
    decodes, so each class has a part of each failure domain's engines to itself.
    """
    by_domain: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        by_domain[endpoint.failure_domain].append(endpoint)
    home: list[Endpoint] = []
    for members in by_domain.values():
        home += _part(prompt_class, sorted(members, key=lambda one: one.name))
    return home or list(endpoints)


def _part(prompt_class: PromptClass, members: list[Endpoint]) -> list[Endpoint]:
    long_end = math.ceil(len(members) * LONG_PART)
    medium_end = max(long_end, math.ceil(len(members) * MEDIUM_PART))
    if prompt_class.is_long:
        return members[:long_end]
    if prompt_class is PromptClass.MEDIUM:
        return members[long_end:medium_end]
    return members[medium_end:]


def choose_candidates(
    work: Work,
    prompt_class: PromptClass,
    endpoints: Sequence[Endpoint],
    parts: Parts,
    rng: random.Random,
) -> list[Candidate]:
    """Returns a few endpoints, those first that probably hold the prompt's prefix.

    The first block alone would send all that share it to one endpoint, so the
    deepest block known ranks as well and the probes' estimates bound the load.
    """
    home = list(endpoints)
    if parts.placement:
        home = home_endpoints(prompt_class, endpoints)
    chosen = [Candidate(one) for one in _choose_home(work, home, parts, rng)]
    if not prompt_class.is_long or not parts.long_share:
        away = [endpoint for endpoint in endpoints if endpoint not in home]
        sample = rng.sample(away, min(OTHER_CANDIDATES, len(away)))
        chosen += [Candidate(one, AWAY_PENALTY_S) for one in sample]
    return chosen


def _choose_home(
    work: Work, home: Sequence[Endpoint], parts: Parts, rng: random.Random
) -> list[Endpoint]:
    by_name = {endpoint.name: endpoint for endpoint in home}
    names: list[str] = []
    if parts.affinity and work.prefix:
        for block in (work.prefix[0], work.prefix[-1]):
            names += rank(str(block), by_name)[:AFFINE_CANDIDATES]
    others = [name for name in by_name if name not in names]
    names += rng.sample(others, min(HOME_CANDIDATES, len(others)))
    return [by_name[name] for name in dict.fromkeys(names)]
