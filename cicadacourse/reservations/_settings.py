"""Settings of KV-cache reservations."""

from __future__ import annotations

import math

from cicadacourse.config import option, section
from cicadacourse.util.clock import MS_PER_S


@section("reservations")
class ReservationSettings:
    """How long KV cache is reserved."""

    unused_bound_ms: int = option(
        int,
        0,
        unit="milliseconds",
        minimum=0,
        help="Longest time for which KV cache is reserved while no request uses it;"
        " 0 if that is not bounded.",
    )

    @property
    def unused_bound_s(self) -> float:
        """Longest time for which KV cache is reserved while no request uses it."""
        return self.unused_bound_ms / MS_PER_S if self.unused_bound_ms else math.inf
