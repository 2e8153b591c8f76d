"""``python -m soak``: play one seed; exit status 0 only if every promise held."""

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
from soak._faults import inject, plan
from soak._play import run_scenario
from soak._world import SoakEnvironment

SEEDS = pathlib.Path(__file__).with_name("SEEDS.txt")
SECONDS_PER_MINUTE = 60.0


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    add = parser.add_argument
    add("--seed", type=int, default=None, help="of load and faults (default: random)")
    add("--minutes", type=float, default=0.5, help="how long faults go on")
    add("--size", type=int, default=4, help="number of instances")
    add("--kept", action="store_true", help="play every seed of SEEDS.txt instead")
    add("--folder", type=pathlib.Path, help="where the instances' output is kept")
    return parser


def report(judge: InvariantChecker, seed: int) -> int:
    """Prints what was found and returns the exit status."""
    ended = ", ".join(
        f"{status or 'cut'}: {count}"
        for status, count in sorted(judge.statuses.items())
    )
    print(f"seed {seed}: {judge.statuses.total()} attempts ({ended})")
    for line in judge.violations:
        print(f"broken: {line}")
    print(
        "all promises held"
        if not judge.violations
        else f"{len(judge.violations)} broken"
    )
    return 1 if judge.violations else 0


def main(argv: list[str]) -> int:
    """Plays one seed, or those that once failed."""
    arguments = get_parser().parse_args(argv)
    if arguments.kept:
        return max(_play_one(item, arguments.folder) for item in kept_seeds())
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    return _play_one(Run(seed, arguments.minutes, arguments.size), arguments.folder)


@attrs.frozen
class Run:
    """What one run is drawn from."""

    seed: int
    minutes: float
    size: int


def kept_seeds() -> list[Run]:
    """Reads the runs that once failed."""
    lines = SEEDS.read_text().splitlines()
    rows = [line.split() for line in lines if line and not line.startswith("#")]
    return [Run(int(row[0]), float(row[1]), int(row[2])) for row in rows]


def _play_one(run: Run, wanted: pathlib.Path | None) -> int:
    async def disturb(world: SoakEnvironment) -> None:
        planned = plan(world, run.minutes * SECONDS_PER_MINUTE)
        for item in planned:
            print(f"{item.at:7.2f} s  {item.name} for {item.for_s:.2f} s")
        await inject(world, planned)

    with _folder(wanted) as folder:
        judge = asyncio.run(run_scenario(folder, run.seed, run.size, disturb))
    return report(judge, run.seed)


@contextlib.contextmanager
def _folder(wanted: pathlib.Path | None) -> Iterator[pathlib.Path]:
    if wanted is None:
        with tempfile.TemporaryDirectory() as made:
            yield pathlib.Path(made)
        return
    wanted.mkdir(parents=True, exist_ok=True)
    yield wanted


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
