"""Settings and metrics of the sessions family."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.metrics import declare


@section("sessions")
class SessionsSettings:
    """How engine sessions that nobody holds are found and released."""

    list_period_s: float = option(
        float,
        5.0,
        unit="seconds",
        minimum=0.1,
        maximum=300,
        help="Time between two lists of an engine's sessions.",
    )
    owner_gone_s: float = option(
        float,
        5.0,
        unit="seconds",
        minimum=0,
        maximum=300,
        help="How long an owner must be seen as gone before its sessions go.",
    )
    overdue_s: float = option(
        float,
        5.0,
        unit="seconds",
        minimum=0,
        maximum=300,
        help="How long past its time limit a session may stay.",
    )
    timeout_s: float = option(
        float,
        2.0,
        unit="seconds",
        minimum=0.05,
        maximum=60,
        help="Time limit of one list, question or release.",
    )


RELEASED = declare("sessions_released_total", "Orphaned sessions released, by reason.")
LIST_ERRORS = declare(
    "session_list_errors_total", "Session lists that failed, by reason."
)
RELEASE_ERRORS = declare(
    "session_release_errors_total", "Releases of orphaned sessions that failed."
)
SESSIONS_HELD = declare("sessions_held", "Engine sessions that this instance holds.")
