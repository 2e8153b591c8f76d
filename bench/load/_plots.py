"""Plots of a measurement."""

from __future__ import annotations

import pathlib
from typing import Any, Sequence

import matplotlib
from matplotlib import pyplot

from cicadacourse.routing import PromptClass

PLOTTED = ("naive", "least_loaded", "default")

matplotlib.use("Agg")


def write_plots(runs: Sequence[Any], directory: pathlib.Path) -> None:
    """Writes the distributions of first tokens and the figures of each run."""
    directory.mkdir(exist_ok=True)
    _plot_first_tokens(runs, directory / "first_token.png")
    _plot_short(runs, directory / "short.png")
    pyplot.close("all")


def _plot_first_tokens(runs: Sequence[Any], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(1, len(PromptClass), figsize=(14, 4), sharey=True)
    for prompt_class, axis in zip(PromptClass, axes):
        for run in runs:
            if run.scenario.name in PLOTTED:
                _plot_distribution(axis, run, prompt_class)
        axis.set_xscale("log")
        axis.set_title(prompt_class.value)
        axis.set_xlabel("time to first token, seconds")
    axes[0].set_ylabel("share of requests")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)


def _plot_distribution(axis: Any, run: Any, prompt_class: PromptClass) -> None:
    seconds = sorted(
        one.first_token_s
        for one in run.results
        if one.prompt_class is prompt_class and one.first_token_s is not None
    )
    shares = [(index + 1) / len(seconds) for index in range(len(seconds))]
    axis.step(seconds, shares, where="post", label=run.scenario.name)


def _plot_short(runs: Sequence[Any], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(1, 3, figsize=(14, 6), sharey=True)
    names = [run.scenario.name for run in runs]
    short = [run.figures[PromptClass.SHORT] for run in runs]
    titles = ("ttft p95, seconds", "itl p95, milliseconds", "slowdown p95")
    attributes = ("ttft_p95_s", "itl_p95_ms", "slowdown_p95")
    for axis, title, attribute in zip(axes, titles, attributes):
        axis.barh(names, [getattr(one, attribute) or 0 for one in short])
        axis.set_title(f"short prompts: {title}")
    axes[0].invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
