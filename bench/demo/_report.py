"""The demo's table and its last line of JSON."""

from __future__ import annotations

import json
import statistics

from bench.demo._load import Tally

COLUMNS = ("sent", "complete", "refused", "unknown", "wrong", "late", "resumed")


def render_table(tally_by_kind: dict[str, Tally]) -> str:
    """Returns a row per kind of request; times are medians in seconds."""
    head = f"{'kind':10}" + "".join(f"{name:>10}" for name in COLUMNS)
    lines = [head + f"{'first tok':>12}{'whole':>10}"]
    for kind, tally in tally_by_kind.items():
        cells = "".join(f"{getattr(tally, name):>10}" for name in COLUMNS)
        times = f"{_median(tally.first_token_s):>12}{_median(tally.seconds):>10}"
        lines.append(f"{kind:10}{cells}{times}")
    return "\n".join(lines)


def _median(values: list[float]) -> str:
    return f"{statistics.median(values):.2f}" if values else "-"


def totals(
    tally_by_kind: dict[str, Tally], runs_by_request: dict[str, int]
) -> dict[str, int]:
    """Returns the sums over all kinds; a false "not run" counts as wrong.

    :param runs_by_request: how often each request ran, as the services count.
    """
    names = ("sent", "complete", "refused", "unknown", "wrong", "late")
    sums = {
        name: sum(getattr(tally, name) for tally in tally_by_kind.values())
        for name in names
    }
    for tally in tally_by_kind.values():
        for request in tally.not_run:
            sums["wrong"] += request in runs_by_request
    ran_twice = sum(count > 1 for count in runs_by_request.values())
    return {**sums, "ran_twice": ran_twice}


def render_totals(sums: dict[str, int]) -> str:
    """Returns the line of JSON, in the documented order."""
    order = ("sent", "complete", "refused", "unknown", "wrong", "ran_twice", "late")
    return json.dumps({name: sums[name] for name in order})


def passed(sums: dict[str, int]) -> bool:
    """Returns whether nothing was wrong, late or run twice, and the sum is right."""
    ended = sums["complete"] + sums["refused"] + sums["unknown"]
    faults = sums["wrong"] + sums["ran_twice"] + sums["late"]
    return faults == 0 and sums["sent"] == ended
