"""Settings and metrics of the endpoints family."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare


@section("endpoints")
class EndpointSettings:
    """How endpoints are found, judged and called."""

    poll_s: float = option(
        float,
        1.0,
        unit="seconds",
        minimum=0.05,
        maximum=60,
        help="Time between reads of the instance list.",
    )
    list_timeout_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.05,
        maximum=60,
        help="Time limit of one read of the instance list.",
    )
    leaving_keep_s: float = option(
        float,
        60.0,
        unit="seconds",
        minimum=1,
        maximum=3600,
        help="How long an endpoint's own word that it is leaving outweighs the list.",
    )
    eject_failures: int = option(
        int,
        3,
        minimum=1,
        maximum=1000,
        help="Failures in a row after which an endpoint is ejected.",
    )
    eject_base_s: float = option(
        float,
        1.0,
        unit="seconds",
        minimum=0.05,
        maximum=600,
        help="Length of the first ejection; it doubles with each further one.",
    )
    eject_max_s: float = option(
        float,
        30.0,
        unit="seconds",
        minimum=0.05,
        maximum=3600,
        help="Longest ejection.",
    )
    connect_timeout_s: float = option(
        float,
        1.0,
        unit="seconds",
        minimum=0.01,
        maximum=60,
        help="Time limit of connecting to an endpoint.",
    )
    max_connections: int = option(
        int, 1024, minimum=1, maximum=65_536, help="Calls to endpoints at a time."
    )
    stream_buffer_bytes: int = option(
        int,
        65_536,
        unit="bytes",
        minimum=1024,
        maximum=16_777_216,
        help="Bytes held of one stream before the engine is made to wait.",
    )


LIST_ERRORS = declare("instance_list_errors_total", "Failed reads of the list.")
ENDPOINTS = declare("endpoints", "Endpoints of a pool, by state.")
EJECTIONS = declare("ejections_total", "Endpoints ejected, by pool and reason.")
EJECTIONS_CAPPED = declare(
    "ejections_capped_total", "Ejections left out because the pool is at its cap."
)
ENDPOINT_FAILURES = declare("endpoint_failures_total", "Failed calls, by reason.")
