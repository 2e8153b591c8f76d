"""Settings of the platform adapter, and the metrics of its store client."""

from __future__ import annotations

from cicadacourse.config import option, parse_address, parse_addresses, section
from cicadacourse.metrics import declare
from cicadacourse.util.clock import MS_PER_S

STORE_CALLS = declare("store_calls_total", "Calls to the store, by call and outcome.")
STORE_REACHABLE = declare("store_reachable", "1 while a topic is followed, by topic.")

# Shares of ``leaving_bound_ms``. Each leaves the rest of that time for a change to
# reach the instance.
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
        help="How long the store holds a read of the configuration without changes.",
    )
    leaving_bound_ms: int = option(
        int,
        2000,
        unit="milliseconds",
        minimum=200,
        help="Longest time for which a leaving endpoint still gets new requests.",
    )
    endpoints_pause_s: float = option(
        float,
        0.8,
        unit="seconds",
        minimum=0.0,
        help="Pause after a read of the registry that returned changes.",
    )
    lapse_hold_s: float = option(
        float,
        2.2,
        unit="seconds",
        minimum=0.0,
        help="How long a missing registry entry is kept after the store recovers.",
    )

    @property
    def endpoints_wait_s(self) -> float:
        """Longest time between the ends of two reads of the registry, in seconds."""
        return ENDPOINTS_LONG_POLL_SHARE * self.leaving_bound_ms / MS_PER_S

    @property
    def delegate_age_s(self) -> float:
        """Age in seconds of the neighbours' newest read of the registry.

        Beyond it, an instance reads the store itself.
        """
        return MAX_DELEGATED_AGE_SHARE * self.leaving_bound_ms / MS_PER_S


@section("listen")
class ListenSettings:
    """Addresses for the platform and for callers, and the graceful shutdown."""

    ready_address: str = option(parse_address, help="Address of the readiness probe.")
    directory_address: str = option(
        parse_address, help="Address at which callers look up instances."
    )
    metrics_address: str = option(
        parse_address, "127.0.0.1:9464", help="Address at which metrics are served."
    )
    seeds: tuple[str, ...] = option(
        parse_addresses,
        (),
        help="Addresses of other instances, which may be stale; ports are ignored.",
    )
    directory_ttl_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.1,
        help="How long callers may cache the response to a look-up.",
    )
    leave_accept_s: float = option(
        float,
        2.5,
        unit="seconds",
        minimum=0.0,
        help="Longest time for which a leaving instance accepts new requests.",
    )
    leave_timeout_s: float = option(
        float,
        7.4,
        unit="seconds",
        minimum=0.0,
        help="Longest time for which a leaving instance still serves requests.",
    )
