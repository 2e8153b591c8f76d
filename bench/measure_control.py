"""Measures the cost of the control traffic by size: ``make measure-control``."""

from __future__ import annotations

import argparse
import json
import sys
import time

import attrs

from bench.control import (
    Sample,
    Slope,
    _calls,
    _capacity,
    _load,
    _membership,
    fit,
)

MEASUREMENTS = (_membership, _load, _calls)


def main(argv: list[str]) -> int:
    """Runs every measurement and prints a table, then JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the random choices"
    )
    arguments = parser.parse_args(argv)
    started = time.monotonic()
    groups = [
        group for module in MEASUREMENTS for group in module.measure(arguments.seed)
    ]
    slopes = [slope for group in groups for slope in fit(group)]
    for group in groups:
        _print_group(group, fit(group))
    _print_capacity(slopes)
    for sample in (sample for group in groups for sample in group):
        print(json.dumps({"sample": attrs.asdict(sample)}))
    for slope in slopes:
        print(json.dumps({"slope": attrs.asdict(slope)}))
    for role in _capacity.roles(slopes):
        print(json.dumps({"capacity": attrs.asdict(role)}))
    print(json.dumps({"took_s": round(time.monotonic() - started, 1)}))
    return 0


def _print_group(samples: list[Sample], slopes: list[Slope]) -> None:
    """Prints a group of samples: a row per figure, a column per size, and the slope."""
    first = samples[0]
    print(f"{first.matter} (by {first.size_name})")
    sizes = "".join(f"{sample.size:>12}" for sample in samples)
    print(f"  {'':34}{sizes}{'at zero':>14}{'per unit':>14}")
    for slope in slopes:
        values = "".join(
            f"{sample.figures_by_name[slope.figure]:>12.2f}" for sample in samples
        )
        print(
            f"  {slope.figure:34}{values}{slope.at_zero:>14.3f}{slope.per_unit:>14.4f}"
        )
    print()


def _print_capacity(slopes: list[Slope]) -> None:
    """Prints the cost of each role on one node of a deployment of the target size."""
    print(f"one of {_capacity.NODES} nodes, worked out from the lines above")
    print(f"  {'role':36}{'calls/s':>10}{'sent B/s':>12}{'CPU ms/s':>10}{'KB':>12}")
    for role in _capacity.roles(slopes):
        figures = f"{role.calls_per_s:>10.2f}{role.sent_bytes_per_s:>12.0f}"
        memory = "-" if role.memory_kb is None else f"{role.memory_kb:.0f}"
        figures += f"{role.cpu_ms_per_s:>10.2f}{memory:>12}"
        print(f"  {role.name:36}{figures}")
    print()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
