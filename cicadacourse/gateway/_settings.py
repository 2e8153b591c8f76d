"""Settings and metrics of the gateway."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare

DURATION = declare(
    "request_duration_seconds", "From arrival to the response's end, by kind and size."
)
FIRST_EVENT = declare(
    "first_event_seconds", "From arrival to a stream's first event, by prompt size."
)
LONGEST_GAP = declare(
    "longest_gap_seconds", "The longest inter-token gap of each stream, by prompt size."
)
ATTEMPT_FAILURES = declare(
    "attempt_failures_total", "Attempts at endpoints that failed, by reason."
)


@section("gateway")
class GatewaySettings:
    """Settings of the retry budget."""

    repeat_ratio: float = option(
        float,
        0.2,
        minimum=0,
        help="Retries allowed per first attempt, over all instances.",
    )
    repeat_slack: float = option(
        float,
        100.0,
        minimum=0,
        help="Retries allowed regardless of the ratio, over all instances.",
    )
    repeat_window_s: float = option(
        float,
        10.0,
        unit="seconds",
        minimum=0.1,
        help="Sliding window in which requests and retries are counted.",
    )
