"""The rules that keep endpoints from being used, beside what endpoints state."""

from __future__ import annotations

from typing import Callable

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.eligibility._model import RULES, AllowedRegions, Obstacle, Rule
from cicadacourse.events import EVACUATIONS_CHANGED

REASON_EVACUATED = "failure_domain_evacuated"
REASON_REGION = "region_not_allowed"


@RULES.register("evacuated")
class EvacuatedRule(Rule):
    """Keeps requests from the failure domains that operators have evacuated.

    What is known holds until the store says otherwise: an instance that has lost the
    store and its peers must not send requests to a domain that may be losing power.
    """

    def __init__(self, app: Application, on_change: Callable[[], None]) -> None:
        super().__init__(app, on_change)
        catalog_service: CatalogService = app.get("catalog")
        self._evacuations = catalog_service.evacuations
        app.events.connect(EVACUATIONS_CHANGED, on_change)

    def may_bind(self, regions: AllowedRegions) -> bool:
        """Returns whether any failure domain is evacuated."""
        return bool(self._evacuations)

    def find_obstacle(
        self, endpoint: Endpoint, regions: AllowedRegions
    ) -> Obstacle | None:
        """Returns an obstacle for each endpoint of an evacuated failure domain."""
        if endpoint.failure_domain not in self._evacuations:
            return None
        detail = f"failure domain {endpoint.failure_domain} is evacuated"
        return Obstacle(REASON_EVACUATED, detail)


@RULES.register("region")
class RegionRule(Rule):
    """Keeps requests in the regions that their routes and organisations allow.

    An endpoint whose region is not known is in none of them.
    """

    def __init__(self, app: Application, on_change: Callable[[], None]) -> None:
        super().__init__(app, on_change)
        settings = app.settings.get(InstanceSettings)
        self._region_by_domain = settings.region_by_domain

    def may_bind(self, regions: AllowedRegions) -> bool:
        """Returns whether a request is restricted to some regions."""
        return regions is not None

    def find_obstacle(
        self, endpoint: Endpoint, regions: AllowedRegions
    ) -> Obstacle | None:
        """Returns an obstacle for each endpoint outside of the allowed regions."""
        region = self._region_by_domain.get(endpoint.failure_domain)
        if regions is None or region in regions:
            return None
        detail = f"region {region or 'unknown'} is not allowed for the request"
        return Obstacle(REASON_REGION, detail)
