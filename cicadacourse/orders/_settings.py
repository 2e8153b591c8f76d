"""Settings and metrics of the orders family."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare

ORDERS = declare("orders_total", "Orders given to endpoints, by outcome.")
ORDERS_DEFERRED = declare("orders_deferred_total", "Orders put off, by reason.")
LEASE_APPENDS = declare("lease_appends_total", "Lease records sent, by outcome.")
LEASE_READ_ERRORS = declare("lease_read_errors_total", "Failed reads, by reason.")
LEASE_RECORDS_DROPPED = declare(
    "lease_records_dropped_total", "Records of the stream that are malformed."
)
LEASE_RESETS = declare("lease_resets_total", "Times the lease stream had to be reread.")
LEASES_HELD = declare("leases_held", "Leases that this instance holds.")


@section("orders")
class OrderSettings:
    """How orders are given and leases are kept."""

    lease_s: float = option(
        float,
        10.0,
        unit="seconds",
        minimum=1.0,
        maximum=600.0,
        help="How long a lease lasts; must be the same on every instance.",
    )
    renew_s: float = option(
        float,
        3.0,
        unit="seconds",
        minimum=0.2,
        maximum=200.0,
        help="How often an instance renews all its leases, in one record.",
    )
    margin_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.0,
        maximum=100.0,
        help="How long before the end of a lease its holder stops.",
    )
    order_timeout_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.1,
        maximum=100.0,
        help="The longest time that an order can be under way.",
    )
    log_timeout_s: float = option(
        float, 3.0, unit="seconds", minimum=0.1, maximum=60.0, help="Limit of a call."
    )
    check_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.1,
        maximum=600.0,
        help="How often an endpoint's state is compared with its pool's.",
    )
    loads_per_pool: int = option(
        int,
        2,
        minimum=1,
        maximum=1000,
        help="Endpoints of one pool that load at a time, at the most.",
    )
    snapshot_s: float = option(
        float,
        120.0,
        unit="seconds",
        minimum=1.0,
        maximum=3600.0,
        help="How often the state of all leases is put into the log.",
    )
