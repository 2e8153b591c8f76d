"""The limits of cold endpoints.

The expected load is a failure domain that comes back cold as a whole, in the middle of
a burst: its endpoints look idle to all instances at once, and each would send them what
it has. A cold endpoint takes requests with permits of its pool's rate, so that load
returns step by step, and what it doesn't take goes to endpoints that are warm.
"""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint, ProcessMemory
from cicadacourse.config import option, section

# Bounds the memory.
MAX_COLD = 2000
# How many seconds of a rate may arrive within one second: a schedule holds permits of
# half a second, and permits are used up to half a second after they were granted.
MAX_BUNCHING = 2.0


@section("limits")
class LimitsSettings:
    """How the limits of endpoints are kept."""

    cold_overage: float = option(
        float,
        0.0,
        minimum=0.0,
        help="How many times its pool's `cold_rate` a cold endpoint may get in any"
        " second; 0 if cold endpoints have no limit.",
    )


class ColdLimits:
    """Knows the limits of endpoints while they are cold, in requests per second."""

    def __init__(self, app: Application) -> None:
        self._catalog_service: CatalogService = app.get("catalog")
        overage = app.settings.get(LimitsSettings).cold_overage
        self._rate_share = min(1.0, overage / MAX_BUNCHING)
        self._available_at: ProcessMemory[float] = ProcessMemory(
            self._catalog_service.registry, MAX_COLD, lambda *_: None
        )

    @property
    def has_any(self) -> bool:
        """Whether any endpoint may be limited as it is cold."""
        return self._rate_share > 0.0 and self._catalog_service.cold.has_any

    def find(self, endpoint: Endpoint) -> float | None:
        """Returns the limit of an endpoint, or None if it is not cold."""
        catalog = self._catalog_service.catalog
        if not self.has_any or endpoint not in self._catalog_service.cold:
            return None
        pool = catalog.pool_by_name.get(endpoint.pool) if catalog else None
        if pool is None or not pool.cold_rate:
            return None
        return self._rate_share * pool.cold_rate

    def available_at(self, endpoint: Endpoint) -> float:
        """Returns from when on a permit is worth asking for, loop time in seconds."""
        if self.find(endpoint) is None:
            return float("-inf")
        return self._available_at.find(endpoint) or float("-inf")

    def record_denied(self, endpoint: Endpoint, available_at: float) -> None:
        """Records that a permit was denied until a loop time in seconds."""
        self._available_at.put(endpoint.process, available_at)
