"""``python -m bench.demo``: run the whole path as separate processes."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
from typing import Iterator

from bench.demo import _load, _report, _scenario
from bench.demo._disturbances import (
    DEFAULT_SPREAD_S,
    SCENARIOS,
    SPREAD_S_BY_SCENARIO,
    Stage,
)
from bench.fleet import Fleet, running_fleet

COUNT_BY_KIND = {
    _load.SHORT: 120,
    _load.LONG: 8,
    _load.MILLION: 2,
    _load.BOOKING: 40,
}


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scenario", choices=SCENARIOS.names(), default="default", help="what happens"
    )
    parser.add_argument("--logs", action="store_true", help="print instances' logs")
    return parser


async def run(
    stage: Stage, scenario: str, seed: int
) -> tuple[dict[str, _load.Tally], dict[str, int]]:
    """Runs the load and the scenario side by side.

    :returns: the tallies by kind and the scenario's exit statuses by step.
    """
    spread_s = SPREAD_S_BY_SCENARIO.get(scenario, DEFAULT_SPREAD_S)
    plans = _load.plan_load(seed, COUNT_BY_KIND, spread_s)
    addresses = [entry.address for entry in stage.entries]
    async with asyncio.TaskGroup() as group:
        load = group.create_task(_load.run_load(addresses, plans))
        disturbed = group.create_task(SCENARIOS.get(scenario)(stage))
    return load.result(), disturbed.result()


def main(argv: list[str]) -> int:
    """Runs the demo; exit status 0 only if nothing was wrong, late or run twice."""
    arguments = get_parser().parse_args(argv)
    with running_fleet() as fleet, logs_printed(fleet, arguments.logs):
        stage = start_stage(fleet)
        print(f"running the load; scenario: {arguments.scenario}", flush=True)
        tallies, statuses = asyncio.run(run(stage, arguments.scenario, arguments.seed))
        runs_by_request = _scenario.runs_by_request(fleet)
        held = _scenario.kv_used(fleet)
    sums = _report.totals(tallies, runs_by_request)
    print(_report.render_table(tallies))
    for tally in tallies.values():
        for error in tally.errors:
            print(error)
    for step, status in statuses.items():
        print(f"{step}: exit status {status}")
    print(f"KV memory still held by engines' sessions: {held} tokens")
    print(_report.render_totals(sums))
    return 0 if _report.passed(sums) and not any(statuses.values()) else 1


def start_stage(fleet: Fleet) -> Stage:
    """Starts the fleet and puts the first tables in force."""
    print("starting stand-ins and six entry instances", flush=True)
    entries = _scenario.start_fleet(fleet)
    published = _scenario.publish(fleet, entries, _scenario.tables_of_the_start(), 0)
    print(f"published version {published['version']}", flush=True)
    _scenario.wait_until_ready(entries)
    return Stage(fleet, entries, published["version"])


@contextlib.contextmanager
def logs_printed(fleet: Fleet, wanted: bool) -> Iterator[None]:
    """Prints the end of each entry instance's log afterwards, if wanted."""
    try:
        yield
    finally:
        if wanted:
            print_logs(fleet)


def print_logs(fleet: Fleet) -> None:
    """Prints the end of each entry instance's log."""
    for program in _scenario.programs(fleet, "entry-"):
        print(f"--- {program.name}")
        print((fleet.folder / f"{program.name}.log").read_text()[-200_000:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
