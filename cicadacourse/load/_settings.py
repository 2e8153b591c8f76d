"""Settings and metrics of the exchange of load reports."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare

REPORTS_SENT = declare("load_reports_sent_total", "Load reports sent to instances.")
REPORTS_REFUSED = declare(
    "load_reports_refused_total", "Load reports that were malformed."
)
OWN_ASSIGNMENTS = declare(
    "load_own_runs", "Assignments of this instance's requests to endpoints."
)


@section("load")
class LoadSettings:
    """How instances exchange load reports."""

    coalesce_s: float = option(
        float,
        0.004,
        unit="seconds",
        minimum=0.0,
        help="Changes within this time travel in one report.",
    )
    busy_period_s: float = option(
        float,
        0.8,
        unit="seconds",
        minimum=0.05,
        help="A report is repeated this often while anything is in progress.",
    )
    idle_period_s: float = option(
        float,
        1.0,
        unit="seconds",
        minimum=0.05,
        help="A report is repeated this often while nothing is in progress.",
    )
    repeats_full_rate_up_to: int = option(
        int,
        25,
        unit="instances",
        minimum=1,
        help="With more others, reports are repeated less often in proportion.",
    )
    expiry_s: float = option(
        float,
        2.8,
        unit="seconds",
        minimum=0.1,
        help="Assignments of an instance that sent no report for so long are removed.",
    )
