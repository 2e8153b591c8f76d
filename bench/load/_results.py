"""What became of the requests of a run, and the figures per class of prompts."""

from __future__ import annotations

import enum
import statistics
from typing import Iterable, Sequence

import attrs

from cicadacourse.routing import PromptClass


class Fate(enum.Enum):
    """How a request ended, as its caller sees it."""

    COMPLETE = "complete"
    REFUSED = "refused"
    LATE = "late"
    WRONG = "wrong"


@attrs.define(kw_only=True)
class RequestResult:
    """One request of a run.

    :param endpoint: the engine of the last attempt.
    :param first_token_s: from its arrival to the first token, or None.
    :param gaps_s: times between the tokens of its answer.
    :param total_s: from its arrival to its end.
    """

    name: str
    organisation: str
    prompt_class: PromptClass
    fate: Fate = Fate.LATE
    reason: str = ""
    attempts: int = 0
    endpoint: str = ""
    first_token_s: float | None = None
    total_s: float = 0.0
    gaps_s: list[float] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ClassFigures:
    """The figures of one class of prompts in one run; None where there are none."""

    prompt_class: PromptClass
    sent: int
    complete: int
    refused: int
    late: int
    wrong: int
    ttft_p50_s: float | None
    ttft_p95_s: float | None
    itl_p95_ms: float | None
    slowdown_p95: float | None


def percentile(values: Sequence[float], part: float) -> float | None:
    """Returns a percentile by linear interpolation, or None if there are no values.

    >>> percentile([1.0, 2.0, 3.0], 50)
    2.0
    """
    if not values:
        return None
    if len(values) == 1:
        return values[0]
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return cuts[int(part) - 1]


def figures_by_class(
    results: Iterable[RequestResult], alone: Iterable[RequestResult] = ()
) -> dict[PromptClass, ClassFigures]:
    """Returns the figures of a run.

    :param alone: the same load without long prompts, for the slowdown.
    """
    results = list(results)
    totals_by_name = {
        one.name: one.total_s for one in alone if one.fate is Fate.COMPLETE
    }
    return {
        prompt_class: _figures(
            prompt_class,
            [one for one in results if one.prompt_class is prompt_class],
            totals_by_name,
        )
        for prompt_class in PromptClass
    }


def _figures(
    prompt_class: PromptClass,
    results: Sequence[RequestResult],
    totals_by_name: dict[str, float],
) -> ClassFigures:
    first = [one.first_token_s for one in results if one.first_token_s is not None]
    gaps = [gap for one in results for gap in one.gaps_s]
    slowdowns = [
        one.total_s / totals_by_name[one.name]
        for one in results
        if one.fate is Fate.COMPLETE and one.name in totals_by_name
    ]
    itl_p95_s = percentile(gaps, 95)
    return ClassFigures(
        prompt_class=prompt_class,
        sent=len(results),
        complete=_count(results, Fate.COMPLETE),
        refused=_count(results, Fate.REFUSED),
        late=_count(results, Fate.LATE),
        wrong=_count(results, Fate.WRONG),
        ttft_p50_s=percentile(first, 50),
        ttft_p95_s=percentile(first, 95),
        itl_p95_ms=None if itl_p95_s is None else itl_p95_s * 1000,
        slowdown_p95=percentile(slowdowns, 95),
    )


def _count(results: Sequence[RequestResult], fate: Fate) -> int:
    return sum(one.fate is fate for one in results)
