"""What choices cost, and that the faster ways to compute them choose the same.

In a burst, an instance looks at all engines for each report that it gets and each
request that waits. Half a core must bear that.
"""

from __future__ import annotations

import random

import pytest

from cicadacourse.catalog import Endpoint
from cicadacourse.load import Assignment, LoadTable, Role
from cicadacourse.load._table import summarize
from cicadacourse.placement._cost import EngineChoice, SplitCosts, estimate_cost
from cicadacourse.placement._model import Candidate, PlacementRequest
from standins.platform import PROFILE

ENDPOINTS = [f"e{number}" for number in range(8)]


def _draw_assignment(chooser: random.Random, now_s: float) -> Assignment:
    return Assignment(
        chooser.choice(ENDPOINTS),
        chooser.choice(list(Role)),
        started=now_s - chooser.uniform(0.0, 1.0),
        context_tokens=chooser.randrange(10_000),
        prefill_s=chooser.choice([0.0, 0.02, 0.5]),
        gap_s=0.2,
        is_prefilled=chooser.random() < 0.3,
        is_remote=True,
    )


@pytest.mark.parametrize("seed", range(20))
def test_kept_summaries_are_those_of_all_assignments(seed: int) -> None:
    """A summary that is kept for too long would hide that an engine is busy."""
    chooser, table, now_s = random.Random(seed), LoadTable(), 0.0
    own: dict[int, Assignment] = {}
    remote: dict[str, list[Assignment]] = {}
    for _ in range(300):
        now_s += chooser.uniform(0.0, 0.3)
        action = chooser.random()
        if action < 0.4:
            name = f"n{chooser.randrange(5)}"
            count = chooser.randrange(4)
            remote[name] = [_draw_assignment(chooser, now_s) for _ in range(count)]
            table.replace_remote_assignments(name, remote[name])
        elif action < 0.6:
            assignment = _draw_assignment(chooser, now_s)
            assignment.is_remote = False
            own[table.add(assignment)] = assignment
        elif action < 0.75 and own:
            chooser.choice(list(own.values())).is_prefilled = True
        elif own:
            number = chooser.choice(list(own))
            table.remove(number)
            del own[number]
        everything = [*own.values(), *(i for items in remote.values() for i in items)]
        for endpoint in ENDPOINTS:
            expected = [item for item in everything if item.endpoint == endpoint]
            assert table.load_of(endpoint, now_s) == summarize(expected, now_s)


@pytest.mark.parametrize("seed", range(50))
def test_the_cost_of_a_split_is_that_of_its_choice(seed: int) -> None:
    chooser = random.Random(seed)
    table = LoadTable()
    table.replace_remote_assignments(
        "other", [_draw_assignment(chooser, 1.0) for _ in range(20)]
    )
    engines = [
        Candidate(
            Endpoint(name, "engines", "10.0.0.1:1", "a", 8),
            table.load_of(name, 1.0),
            True,
        )
        for name in ENDPOINTS
    ]
    request = PlacementRequest(
        "r", "engines", 0, 1.5, 4.0, 8.0, prompt_tokens=chooser.randrange(400_000)
    )
    costs = SplitCosts.estimate(request, PROFILE, engines)
    for count in range(1, len(engines) + 1):
        choice = EngineChoice(
            engines[0],
            tuple(engines[1:count]),
            costs.prefill_s(count),
            costs.first_event_s(count),
        )
        expected = estimate_cost(request, PROFILE, choice)
        assert costs.cost(count) == pytest.approx(expected)
