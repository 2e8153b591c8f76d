"""Settings and metrics of the exchange of load reports."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.load._datagram import NO_CAPACITY
from cicadacourse.metrics import declare

REPORTS_SENT = declare("load_reports_sent_total", "Load reports sent to instances.")
REPORTS_REFUSED = declare(
    "load_reports_refused_total", "Load reports that were malformed."
)
BATCHES_SENT = declare(
    "load_batches_sent_total",
    "Datagrams with load reports of several instances, sent as a relay.",
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
    batched_from: int = option(
        int,
        0,
        unit="instances",
        minimum=0,
        help="In failure domains of so many instances, two of them collect the others'"
        " reports and pass them on together; 0 for none.",
    )
    batch_s: float = option(
        float,
        0.04,
        unit="seconds",
        minimum=0.001,
        maximum=0.2,
        help="How long reports are collected.",
    )
    cpu_share: float = option(
        float,
        1.0,
        minimum=0.001,
        help="Share of each core's time; with `cpu_cores`, what it can relay.",
    )
    cpu_cores: int = option(int, 1, minimum=1, help="Cores of this instance.")
    expiry_s: float = option(
        float,
        2.8,
        unit="seconds",
        minimum=0.1,
        help="Assignments of an instance that sent no report for so long are removed.",
    )

    @property
    def capacity(self) -> int:
        """The processor capacity in thousandths of a core, 0 without batches."""
        if not self.batched_from:
            return NO_CAPACITY
        return max(1, round(self.cpu_share * self.cpu_cores * 1000))
