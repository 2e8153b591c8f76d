"""A load of short and long prompts over engines in memory, on a paused clock."""

from bench.load._arrivals import OVERLOAD, Arrival, LoadSettings, make_arrivals
from bench.load._fleet import Fleet
from bench.load._results import ClassFigures, RequestResult, figures_by_class
from bench.load._run import Scenario, run_scenario

__all__ = [
    "OVERLOAD",
    "Arrival",
    "ClassFigures",
    "Fleet",
    "LoadSettings",
    "RequestResult",
    "Scenario",
    "figures_by_class",
    "make_arrivals",
    "run_scenario",
]
