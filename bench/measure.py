"""Measures short prompts beside long ones: each policy, each part, each fault."""

from __future__ import annotations

import argparse
import gc
import pathlib
import sys
import time
from typing import Sequence

import attrs
import logbook

from bench.load import (
    OVERLOAD,
    Arrival,
    ClassFigures,
    LoadSettings,
    RequestResult,
    Scenario,
    figures_by_class,
    make_arrivals,
    run_scenario,
)
from bench.load._plots import write_plots
from bench.load._report import print_bounds, print_json, print_table
from cicadacourse.routing import Parts, PromptClass

DEFAULT_SECONDS = 8.0
FLOOD_SECONDS_PART = 0.6
OUT = pathlib.Path("out")
LATE_REPORTS_S = 5.0
DEATHS = 2
LONG_PROMPT_TOKENS = 32_000

POLICIES = ("naive", "least_loaded", "default")
PARTS_WITHOUT_QUEUES = ("affinity", "placement", "probing", "long_share")
PARTS_OF_QUEUES = ("classes", "fair_share", "deadlines")


@attrs.frozen
class Measured:
    """One run and its figures."""

    scenario: Scenario
    results: list[RequestResult]
    figures: dict[PromptClass, ClassFigures]


def scenarios() -> list[Scenario]:
    """Returns the runs on the stated load."""
    plain = [Scenario(name=policy, policy=policy) for policy in POLICIES]
    without = [
        Scenario(name=f"default without {part}", parts=Parts(**{part: False}))
        for part in PARTS_WITHOUT_QUEUES
    ]
    dying = [
        Scenario(name=f"{policy}, engines die", policy=policy, deaths=DEATHS)
        for policy in POLICIES
    ]
    late = [
        Scenario(
            name=f"{policy}, late reports", policy=policy, report_lag_s=LATE_REPORTS_S
        )
        for policy in POLICIES[1:]
    ]
    return plain + without + dying + late


def overload_scenarios() -> list[Scenario]:
    """Returns the runs on the load with a flood that the fleet can't take.

    What acts on queues alone shows nothing on the stated load, which forms none.
    """
    return [Scenario(name="default, flood")] + [
        Scenario(name=f"default, flood, without {part}", parts=Parts(**{part: False}))
        for part in PARTS_OF_QUEUES
    ]


def measure(
    scenario: Scenario,
    arrivals: Sequence[Arrival],
    seconds: float,
    seed: int,
    alone: Sequence[RequestResult] = (),
) -> Measured:
    """Runs a scenario and works out its figures."""
    results = run_scenario(scenario, arrivals, seconds, seed)
    gc.collect()
    return Measured(scenario, results, figures_by_class(results, alone))


def run_all(seconds: float, seed: int) -> tuple[list[Measured], list[Measured]]:
    """Runs everything; returns the runs on the stated load and on the flood."""
    arrivals = make_arrivals(LoadSettings(), seconds, seed)
    not_long = [one for one in arrivals if one.prompt_tokens < LONG_PROMPT_TOKENS]
    alone_by_policy = {
        policy: run_scenario(
            Scenario(name=policy, policy=policy), not_long, seconds, seed
        )
        for policy in POLICIES
    }
    stated = [
        measure(one, arrivals, seconds, seed, alone_by_policy[one.policy])
        for one in scenarios()
    ]
    flood_s = seconds * FLOOD_SECONDS_PART
    flood = make_arrivals(OVERLOAD, flood_s, seed)
    flooded = [measure(one, flood, flood_s, seed) for one in overload_scenarios()]
    return stated, flooded


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="measure", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of load and faults")
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        help="length of the load on the paused clock (default: %(default)g)",
    )
    return parser


def main(argv: Sequence[str]) -> int:
    """Runs the measurement; returns 0 if every bound was kept."""
    arguments = get_parser().parse_args(argv)
    logbook.NullHandler(level="INFO").push_application()
    gc.disable()
    started = time.monotonic()
    stated, flooded = run_all(arguments.seconds, arguments.seed)
    print(f"seed {arguments.seed}, {arguments.seconds:g} s of load")
    print_table(stated + flooded)
    write_plots(stated, OUT)
    kept = print_bounds(stated)
    print(f"took {time.monotonic() - started:.0f} s; plots are in {OUT}/")
    print_json(stated + flooded)
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
