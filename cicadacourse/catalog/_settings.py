"""Settings of the configuration in force."""

from __future__ import annotations

from cicadacourse.config import option, section
from cicadacourse.util.clock import MS_PER_S


@section("catalog")
class CatalogSettings:
    """How long a configuration may be applied."""

    superseded_bound_ms: int = option(
        int,
        2000,
        unit="milliseconds",
        minimum=200,
        help="Longest time for which a superseded configuration may be applied.",
    )

    @property
    def superseded_bound_s(self) -> float:
        """Longest time for which a superseded configuration may be applied."""
        return self.superseded_bound_ms / MS_PER_S
