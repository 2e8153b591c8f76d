"""Settings and metrics of limits."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare

REFUSED = declare("limits_refusals_total", "Requests over a limit, by reason.")
ADMITTED_LOCALLY = declare(
    "limits_admitted_without_keeper_total",
    "Requests admitted from the local allowance, as the keeper did not answer.",
)
EVICTIONS = declare(
    "limits_evictions_total", "Buckets dropped before they were full again."
)
BUCKETS = declare("limits_buckets", "Token buckets that this instance keeps.")
SHARES = declare("limits_shares", "Organisations and routes that hold slices here.")


@section("limits")
class LimitsSettings:
    """How organisations' limits are held across instances."""

    slice_s: float = option(
        float, 1.0, unit="seconds", minimum=0.1, help="Demand that one slice covers."
    )
    slice_life_s: float = option(
        float, 2.0, unit="seconds", minimum=0.1, help="A slice is void after that."
    )
    short_s: float = option(
        float, 0.5, unit="seconds", minimum=0.05, help="Pause after a partial slice."
    )
    keeper_timeout_s: float = option(
        float, 0.3, unit="seconds", minimum=0.01, help="Time limit for the keeper."
    )
    keeper_retry_s: float = option(
        float, 1.0, unit="seconds", minimum=0.1, help="Pause if it did not answer."
    )
    new_bucket_share: float = option(
        float,
        0.5,
        unit="share of the burst",
        minimum=0.0,
        maximum=1.0,
        help="What a bucket holds at least when its keeper changes.",
    )
    max_buckets: int = option(
        int, 50_000, minimum=1, help="Token buckets kept, and shares held, at most."
    )
