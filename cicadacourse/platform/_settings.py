"""Settings of the platform adapter, and the metrics of its store client."""

from __future__ import annotations

from cicadacourse.config import option, parse_address, parse_addresses, section
from cicadacourse.metrics import declare
from cicadacourse.util.clock import MS_PER_S

STORE_CALLS = declare("store_calls_total", "Calls to the store, by call and outcome.")
STORE_REACHABLE = declare("store_reachable", "1 while a topic is followed, by topic.")

# Shares of ``leaving_bound_ms``; the rest is for a change to reach the instance.
ENDPOINTS_LONG_POLL_SHARE = 0.5
MAX_DELEGATED_AGE_SHARE = 0.65


@section("store")
class StoreSettings:
    """Address of the platform's store, and how its topics are followed."""

    address: str = option(parse_address, help="Address of the store.")
    timeout_s: float = option(
        float, 1.5, unit="seconds", minimum=0.1, help="Time limit of a call."
    )
    read_timeout_s: float = option(
        float,
        0.9,
        unit="seconds",
        minimum=0.1,
        help="Time limit of a read beyond the time that the store may hold it.",
    )
    configuration_wait_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.1,
        maximum=30,
        help="How long the store holds a read of the configuration without news.",
    )
    leaving_bound_ms: int = option(
        int,
        2000,
        unit="milliseconds",
        minimum=200,
        help="Within this time of its leaving an endpoint gets no more requests.",
    )
    endpoints_pause_s: float = option(
        float,
        0.8,
        unit="seconds",
        minimum=0.0,
        help="Pause after a read of the registry that brought news.",
    )
    lapse_hold_s: float = option(
        float,
        2.2,
        unit="seconds",
        minimum=0.0,
        help="How long after the store's return a vanished entry is still believed.",
    )

    @property
    def endpoints_wait_s(self) -> float:
        """How long the store holds a read of the registry without news, in seconds."""
        return ENDPOINTS_LONG_POLL_SHARE * self.leaving_bound_ms / MS_PER_S

    @property
    def delegate_age_s(self) -> float:
        """Age in seconds of the neighbours' last read at which an instance reads."""
        return MAX_DELEGATED_AGE_SHARE * self.leaving_bound_ms / MS_PER_S


@section("listen")
class ListenSettings:
    """Addresses for the platform and for callers, and the graceful shutdown."""

    ready_address: str = option(parse_address, help="Where readiness is asked.")
    directory_address: str = option(parse_address, help="Where callers look up.")
    metrics_address: str = option(
        parse_address, "127.0.0.1:9464", help="Where metrics are served."
    )
    seeds: tuple[str, ...] = option(
        parse_addresses, (), help="Addresses of instances that may be stale."
    )
    directory_ttl_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.1,
        help="How long callers may keep a look-up.",
    )
    leave_accept_s: float = option(
        float,
        2.5,
        unit="seconds",
        minimum=0.0,
        help="How long a leaving instance takes new requests.",
    )
    leave_timeout_s: float = option(
        float,
        7.4,
        unit="seconds",
        minimum=0.0,
        help="How long a leaving instance serves on at the most.",
    )
