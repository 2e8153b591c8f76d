"""Tests of the measurement itself."""

from __future__ import annotations

import json

import attrs

from bench.load import LoadSettings, Scenario, make_arrivals, run_scenario
from bench.load._report import print_bounds, print_json
from bench.load._results import ClassFigures, Fate, figures_by_class
from bench.measure import Measured
from cicadacourse.routing import PromptClass

KEYS = {
    "policy",
    "class",
    "sent",
    "complete",
    "refused",
    "late",
    "ttft_p50_s",
    "ttft_p95_s",
    "itl_p95_ms",
    "slowdown_p95",
}


def figures(prompt_class: PromptClass, **changes) -> ClassFigures:
    good = ClassFigures(
        prompt_class=prompt_class,
        sent=10,
        complete=10,
        refused=0,
        late=0,
        wrong=0,
        ttft_p50_s=0.1,
        ttft_p95_s=0.2,
        itl_p95_ms=20.0,
        slowdown_p95=1.1,
    )
    return attrs.evolve(good, **changes)


def runs(naive_slowdown: float = 6.0, **short_changes) -> list[Measured]:
    found = []
    for name in ("naive", "default"):
        by_class = {one: figures(one) for one in PromptClass}
        short = {} if name == "naive" else short_changes
        if name == "naive":
            short = {"slowdown_p95": naive_slowdown}
        by_class[PromptClass.SHORT] = figures(PromptClass.SHORT, **short)
        found.append(Measured(Scenario(name=name, policy=name), [], by_class))
    return found


def test_a_run_with_the_same_seed_gives_the_same_figures():
    arrivals = make_arrivals(LoadSettings(huge=0), 1.5, seed=3)
    scenario = Scenario(name="default", deaths=1)
    first = figures_by_class(run_scenario(scenario, arrivals, 1.5, seed=3))
    second = figures_by_class(run_scenario(scenario, arrivals, 1.5, seed=3))
    assert first == second
    assert sum(one.complete for one in first.values()) == len(arrivals)


def test_one_prompt_in_fifty_is_over_a_hundred_thousand_tokens():
    arrivals = make_arrivals(LoadSettings(flood_rate=0, huge=0), 500.0, seed=1)
    long = sum(one.prompt_tokens > 100_000 for one in arrivals)
    assert 0.015 < long / len(arrivals) < 0.025
    assert min(one.prompt_tokens for one in arrivals) >= 1_000
    assert max(one.prompt_tokens for one in arrivals) <= 1_000_000
    assert len({one.organisation for one in arrivals}) == 10


def test_every_request_is_counted_once():
    arrivals = make_arrivals(LoadSettings(), 1.0, seed=1)
    results = run_scenario(
        Scenario(name="naive", policy="naive"), arrivals, 1.0, seed=1
    )
    assert len(results) == len(arrivals)
    by_class = figures_by_class(results)
    for one in by_class.values():
        assert one.sent == one.complete + one.refused + one.late
    assert not any(one.fate is Fate.WRONG for one in results)


def test_the_json_lines_have_the_documented_keys(capsys):
    print_json(runs())
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 2 * len(PromptClass)
    assert all(set(json.loads(line)) == KEYS for line in lines)


def test_a_missed_bound_is_told(capsys):
    assert print_bounds(runs())
    assert not print_bounds(runs(ttft_p95_s=1.3))
    assert not print_bounds(runs(itl_p95_ms=47.0))
    assert not print_bounds(runs(slowdown_p95=1.21))
    assert not print_bounds(runs(slowdown_p95=None))
    assert not print_bounds(runs(naive_slowdown=3.2))
    assert capsys.readouterr().out.count("MISSED") == 6
