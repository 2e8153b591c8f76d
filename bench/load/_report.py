"""The table, the bounds and the JSON lines of a measurement."""

from __future__ import annotations

import json
from typing import Any, Sequence

from bench.load._arrivals import FLOODER
from bench.load._results import ClassFigures, percentile
from cicadacourse.routing import PromptClass

TTFT_BOUND_S = 1.2
ITL_BOUND_MS = 46.0
SLOWDOWN_BOUND = 1.2
NAIVE_PART = 3.0

COLUMNS = (
    "run",
    "class",
    "sent",
    "complete",
    "refused",
    "late",
    "ttft p50 s",
    "ttft p95 s",
    "itl p95 ms",
    "slowdown p95",
)


def print_table(runs: Sequence[Any]) -> None:
    """Prints a row per run and class, and the flooder's share of it."""
    rows = [COLUMNS]
    for run in runs:
        for figures in run.figures.values():
            rows.append(_row(run.scenario.name, figures))
    widths = [max(len(row[index]) for row in rows) for index in range(len(COLUMNS))]
    for row in rows:
        cells = (cell.rjust(width) for cell, width in zip(row[1:], widths[1:]))
        print(row[0].ljust(widths[0]), *cells, sep="  ")
    print()
    for run in runs:
        others, flooder = _split_short(run)
        print(
            f"{run.scenario.name}: short ttft p95 {_text(flooder, 2)} s for the "
            f"organisation that floods, {_text(others, 2)} s for the others"
        )


def print_bounds(runs: Sequence[Any]) -> bool:
    """Prints each bound with its figure; returns whether all were kept."""
    figures_by_run = {run.scenario.name: run.figures for run in runs}
    short = figures_by_run["default"][PromptClass.SHORT]
    naive = figures_by_run["naive"][PromptClass.SHORT]
    checks = [
        ("short ttft p95 s", short.ttft_p95_s, TTFT_BOUND_S),
        ("short itl p95 ms", short.itl_p95_ms, ITL_BOUND_MS),
        ("short slowdown p95", short.slowdown_p95, SLOWDOWN_BOUND),
        (
            "short slowdown p95, against a third of naive's",
            short.slowdown_p95,
            (naive.slowdown_p95 or 0.0) / NAIVE_PART,
        ),
    ]
    for prompt_class in (PromptClass.LONG, PromptClass.HUGE):
        figures = figures_by_run["default"][prompt_class]
        lost = figures.sent - figures.complete
        checks.append((f"{prompt_class.value} not complete", lost, 0))
    wrong = sum(one.wrong for run in runs for one in run.figures.values())
    checks.append(("wrong answers in any run", wrong, 0))
    kept = True
    print()
    for name, value, bound in checks:
        is_kept = value is not None and value <= bound
        kept = kept and is_kept
        verdict = "kept" if is_kept else "MISSED"
        print(f"bound {name}: {_text(value, 3)} of {bound:.3f}: {verdict}")
    return kept


def print_json(runs: Sequence[Any]) -> None:
    """Prints one JSON line per run and class."""
    for run in runs:
        for figures in run.figures.values():
            print(json.dumps(_to_json(run.scenario.name, figures)))


def _to_json(name: str, figures: ClassFigures) -> dict[str, object]:
    return {
        "policy": name,
        "class": figures.prompt_class.value,
        "sent": figures.sent,
        "complete": figures.complete,
        "refused": figures.refused,
        "late": figures.late,
        "ttft_p50_s": _rounded(figures.ttft_p50_s),
        "ttft_p95_s": _rounded(figures.ttft_p95_s),
        "itl_p95_ms": _rounded(figures.itl_p95_ms),
        "slowdown_p95": _rounded(figures.slowdown_p95),
    }


def _row(name: str, figures: ClassFigures) -> tuple[str, ...]:
    return (
        name,
        figures.prompt_class.value,
        str(figures.sent),
        str(figures.complete),
        str(figures.refused),
        str(figures.late),
        _text(figures.ttft_p50_s, 2),
        _text(figures.ttft_p95_s, 2),
        _text(figures.itl_p95_ms, 0),
        _text(figures.slowdown_p95, 2),
    )


def _split_short(run: Any) -> tuple[float | None, float | None]:
    """Returns the short prompts' p95 of the other organisations and the flooder."""
    seconds: dict[bool, list[float]] = {False: [], True: []}
    for one in run.results:
        if one.prompt_class is PromptClass.SHORT and one.first_token_s is not None:
            seconds[one.organisation == FLOODER].append(one.first_token_s)
    return percentile(seconds[False], 95), percentile(seconds[True], 95)


def _text(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
