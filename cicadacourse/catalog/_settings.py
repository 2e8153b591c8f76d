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

    evacuation_bound_ms: int = option(
        int,
        0,
        unit="milliseconds",
        minimum=0,
        help="Longest time for which an evacuated failure domain still gets requests;"
        " 0 if operators evacuate none.",
    )

    @property
    def follows_evacuations(self) -> bool:
        """Whether operators' requests to evacuate failure domains are followed."""
        return self.evacuation_bound_ms > 0

    @property
    def operator_bound_s(self) -> float:
        """The shortest time within which an operator's change must be in force."""
        bounds_ms = [self.superseded_bound_ms]
        if self.follows_evacuations:
            bounds_ms.append(self.evacuation_bound_ms)
        return min(bounds_ms) / MS_PER_S

    @property
    def superseded_bound_s(self) -> float:
        """Longest time for which a superseded configuration may be applied."""
        return self.superseded_bound_ms / MS_PER_S
