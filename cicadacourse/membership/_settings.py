"""Settings and metrics of membership."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare

SUSPICIONS = declare(
    "membership_suspicions_total", "Members that this instance began to suspect."
)
REFUTATIONS = declare(
    "membership_refutations_total",
    "Suspicions, deaths and leaves of this instance that it refuted.",
)
DEATHS = declare("membership_deaths_total", "Members that left or were declared dead.")
PAUSES = declare("membership_pauses_total", "Pauses that this instance noticed.")
MEMBERS = declare("membership_members", "Other members known, by state.")


@section("membership")
class MembershipSettings:
    """How instances find each other and detect failures."""

    probe_period_s: float = option(
        float,
        1.0,
        unit="seconds",
        minimum=0.05,
        help="One member is probed per period.",
    )
    probe_timeout_s: float = option(
        float, 0.4, unit="seconds", minimum=0.01, help="Time limit of a probe."
    )
    indirect_probes: int = option(
        int, 3, minimum=0, maximum=16, help="Members asked for an indirect probe."
    )
    suspicion_periods: float = option(
        float,
        4.0,
        unit="probe periods",
        minimum=1,
        help="How long a suspected member may refute, times log10 of the members.",
    )
    deltas_per_message: int = option(
        int, 8, minimum=1, maximum=64, help="Member changes per probe or answer."
    )
    sync_period_s: float = option(
        float, 5.0, unit="seconds", minimum=0.1, help="Period of syncs with one member."
    )
    sync_timeout_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.1,
        help="Time limit of each call of a sync.",
    )
    contacts_period_s: float = option(
        float, 10.0, unit="seconds", minimum=0.5, help="Period of reading the contacts."
    )
    forget_dead_s: float = option(
        float,
        7200.0,
        unit="seconds",
        minimum=10,
        help="How long dead members are kept.",
    )
    pause_limit_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.2,
        help="A longer stall counts as a pause.",
    )
