"""The metrics of one instance, in the Prometheus text format."""

from __future__ import annotations

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

Metric = Counter | Gauge | Histogram

# Upper bounds of histogram buckets, closer together around the latency objectives.
LATENCY_BUCKETS_S = (
    *(0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0),
    *(1.5, 2.0, 3.0, 5.0, 10.0, 15.0, 30.0),
)


class Metrics:
    """Creates each metric on its first use and renders all of them.

    Metric names are prefixed with ``cicadacourse_``.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._by_name: dict[str, Metric] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter declared with :func:`declare`."""
        self._get(name, Counter).add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge declared with :func:`declare`."""
        self._get(name, Gauge).set(labels, value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a duration in seconds to a histogram declared with :func:`declare`."""
        self._get(name, Histogram).observe(labels, value)

    def value(self, name: str, **labels: str) -> float:
        """Returns the value of a metric, or 0 if it was never updated."""
        metric = self._by_name.get(name)
        if metric is None:
            return 0
        try:
            # aioprometheus has one type for the values of all kinds of metrics.
            return metric.get(labels)  # type: ignore[return-value]  # numbers only
        except KeyError:
            return 0

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the body and the headers of the response to a scrape."""
        return render(self._registry, [])

    def _get(self, name: str, cls: type[Metric]) -> Any:
        metric = self._by_name.get(name)
        if metric is None:
            metric = self._create(name, cls)
            self._by_name[name] = metric
        return metric

    def _create(self, name: str, cls: type[Metric]) -> Metric:
        full_name = f"cicadacourse_{name}"
        help_text = HELP_BY_NAME[name]
        if cls is Histogram:
            return Histogram(
                full_name,
                help_text,
                registry=self._registry,
                buckets=LATENCY_BUCKETS_S,
            )
        return cls(full_name, help_text, registry=self._registry)


HELP_BY_NAME: dict[str, str] = {}


def declare(name: str, help_text: str) -> str:
    """Declares a metric and returns its name.

    :raises ValueError: if it was declared with another help text.

    >>> declare("doctest_total", "Counts examples.")
    'doctest_total'
    """
    if HELP_BY_NAME.setdefault(name, help_text) != help_text:
        raise ValueError(f"metric {name} is declared twice")
    return name


REQUESTS = declare("requests_total", "Requests ended, by outcome and by kind of route.")
REFUSALS = declare("refusals_total", "Requests refused, by reason.")
RETRIES = declare(
    "retries_total", "Retries, by reason of the failed attempt; `silent` is a hedge."
)
