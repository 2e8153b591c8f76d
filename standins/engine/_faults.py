"""Faults of the engine."""

from __future__ import annotations

import attrs

from standins._faults import Faults

REPORT_LAG_S = 1.0


@attrs.define
class EngineFaults(Faults):
    """The engine's faults; ``silence`` also stops its steps.

    :param dribble_s: pause before each line of a stream, in seconds.
    :param crossed: lines carry the names of another request.
    :param late_s: pause before each stream's first line, in seconds.
    :param duplicated: each line is sent twice.
    :param cut_after_lines: streams break after that many lines; 0 for never.
    :param refuse: every new session is refused.
    :param leaving: every new session is refused, with that reason.
    :param slow: factor on the time of each step.
    :param report_lag_s: age of reported load and cache events, in seconds.
    :param ignore_fencing: old fencing tokens are taken, whatever the engine says.
    :param down: connections are refused, as after a crash.
    """

    dribble_s: float = 0.0
    crossed: bool = False
    late_s: float = 0.0
    duplicated: bool = False
    cut_after_lines: int = 0
    refuse: bool = False
    leaving: bool = False
    slow: float = 1.0
    report_lag_s: float = REPORT_LAG_S
    ignore_fencing: bool = False
    down: bool = False
