"""``python -m soak``: runs one seed; the exit status is 0 if no check failed."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile
from typing import Iterator

import attrs

from soak._checks import InvariantChecker
from soak._configuration_scenario import (
    CONFIGURATION_FAULTS,
    run_configuration_scenario,
)
from soak._decline_scenario import DECLINE_FAULTS, run_decline_scenario
from soak._environment import SoakEnvironment
from soak._evacuation_scenario import EVACUATION_FAULTS, run_evacuation_scenario
from soak._faults import FAULTS, inject_faults, plan_faults
from soak._limit_scenario import LIMIT_FAULTS, run_limit_scenario
from soak._partition_scenario import PARTITION_FAULTS, run_partition_scenario
from soak._prompt_scenario import PROMPT_FAULTS, run_prompt_scenario
from soak._request_scenario import REQUEST_FAULTS, run_request_scenario
from soak._scenario import run_scenario
from soak._silence_scenario import SILENCE_FAULTS, run_silence_scenario
from soak._unruly_scenario import UNRULY_FAULTS, run_unruly_scenario

SEEDS = pathlib.Path(__file__).with_name("SEEDS.txt")
SECONDS_PER_MINUTE = 60.0
SCENARIOS = {
    "faults": (run_scenario, FAULTS),
    "configurations": (run_configuration_scenario, CONFIGURATION_FAULTS),
    "declines": (run_decline_scenario, DECLINE_FAULTS),
    "evacuations": (run_evacuation_scenario, EVACUATION_FAULTS),
    "limits": (run_limit_scenario, LIMIT_FAULTS),
    "partitions": (run_partition_scenario, PARTITION_FAULTS),
    "prompts": (run_prompt_scenario, PROMPT_FAULTS),
    "requests": (run_request_scenario, REQUEST_FAULTS),
    "silence": (run_silence_scenario, SILENCE_FAULTS),
    "unruly": (run_unruly_scenario, UNRULY_FAULTS),
}


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    add = parser.add_argument
    add(
        "--seed",
        type=int,
        default=None,
        help="seed of the load and the faults (default: random)",
    )
    add("--minutes", type=float, default=0.5, help="how long faults are injected")
    add("--size", type=int, default=4, help="number of instances")
    add(
        "--scenario",
        choices=sorted(SCENARIOS),
        default="faults",
        help="faults of all kinds, a configuration that changes each second,"
        " endpoints that name limits, prompts that crash engines, requests that"
        " crash endpoints, endpoints and connections that fall silent, endpoints that"
        " leave or turn requests away, instances that are cut off from endpoints,"
        " failure domains that are evacuated and come back cold, or clients that keep"
        " to no limit",
    )
    add("--kept", action="store_true", help="run every line of SEEDS.txt instead")
    add(
        "--folder",
        type=pathlib.Path,
        help="folder that keeps the instances' settings and logs",
    )
    return parser


def report(checker: InvariantChecker, seed: int) -> int:
    """Prints the attempts by status and the violations; returns the exit status."""
    counts = ", ".join(
        f"{status or 'cut'}: {count}"
        for status, count in sorted(checker.statuses.items())
    )
    print(f"seed {seed}: {checker.statuses.total()} attempts ({counts})")
    for line in checker.violations:
        print(f"broken: {line}")
    print(
        "all invariants held"
        if not checker.violations
        else f"{len(checker.violations)} broken"
    )
    return 1 if checker.violations else 0


def main(argv: list[str]) -> int:
    """Runs one seed, or with ``--kept`` those of ``SEEDS.txt``."""
    arguments = get_parser().parse_args(argv)
    if arguments.kept:
        return max(_run_once(item, arguments.folder) for item in read_kept_runs())
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    run = RunParameters(seed, arguments.minutes, arguments.size, arguments.scenario)
    return _run_once(run, arguments.folder)


@attrs.frozen
class RunParameters:
    """The parameters of one run; ``size`` is the number of instances."""

    seed: int
    minutes: float
    size: int
    scenario: str


def read_kept_runs() -> list[RunParameters]:
    """Returns the runs of ``SEEDS.txt``, which failed in the past."""
    lines = SEEDS.read_text().splitlines()
    rows = [line.split() for line in lines if line and not line.startswith("#")]
    return [
        RunParameters(int(row[0]), float(row[1]), int(row[2]), row[3]) for row in rows
    ]


def _run_once(run: RunParameters, folder: pathlib.Path | None) -> int:
    run_seed, faults = SCENARIOS[run.scenario]

    async def inject(environment: SoakEnvironment) -> None:
        planned = plan_faults(environment, run.minutes * SECONDS_PER_MINUTE, faults)
        for item in planned:
            print(f"{item.start_s:7.2f} s  {item.name} for {item.duration_s:.2f} s")
        await inject_faults(environment, planned, faults)

    with _output_folder(folder) as output_folder:
        checker = asyncio.run(run_seed(output_folder, run.seed, run.size, inject))
    return report(checker, run.seed)


@contextlib.contextmanager
def _output_folder(folder: pathlib.Path | None) -> Iterator[pathlib.Path]:
    if folder is None:
        with tempfile.TemporaryDirectory() as temporary:
            yield pathlib.Path(temporary)
        return
    folder.mkdir(parents=True, exist_ok=True)
    yield folder


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
