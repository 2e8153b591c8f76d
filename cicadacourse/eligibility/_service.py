"""Answers which endpoints may get something new from this instance now.

Every way to an endpoint asks here: each choice among endpoints, and once more the
instance that is about to write to a connection, as time has passed since the choice.
"""

from __future__ import annotations

from typing import Iterable

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import (
    CatalogService,
    CatalogSettings,
    Endpoint,
    EndpointState,
)
from cicadacourse.eligibility._declines import REASON_LEAVING, Declines
from cicadacourse.eligibility._model import NEVER, RULES, AllowedRegions, Obstacle, Rule
from cicadacourse.events import ELIGIBILITY_CHANGED
from cicadacourse.evidence import Evidence
from cicadacourse.exchange import SendFailure

# How long a request waits after a pause for what other instances know. One reply takes
# some milliseconds.
MAX_SYNC_WAIT_S = 0.3


@SERVICES.register("eligibility")
class Eligibility(Service):
    """Asks all registered rules whether endpoints may be used."""

    name = "eligibility"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        catalog_service: CatalogService = app.get("catalog")
        self._registry = catalog_service.registry
        catalog_settings = app.settings.get(CatalogSettings)
        self._follows_evacuations = catalog_settings.follows_evacuations
        self._rule_by_name: dict[str, Rule] = {
            name: RULES.get(name)(app, self._report_change) for name in RULES
        }

    async def wait_until_current(self) -> None:
        """Waits after a pause for what other instances have learned meanwhile.

        Operators may have evacuated a failure domain. Returns at once otherwise.
        """
        if self._follows_evacuations:
            evidence: Evidence = self.app.get("evidence")
            await evidence.wait_until_synced(MAX_SYNC_WAIT_S)

    @property
    def declines(self) -> Declines:
        """What endpoints state about the requests that they want."""
        declines = self._rule_by_name["declines"]
        assert isinstance(declines, Declines)
        return declines

    def select(
        self, endpoints: Iterable[Endpoint], regions: AllowedRegions = None
    ) -> list[Endpoint]:
        """Returns those endpoints that may get a request now.

        :param regions: the regions that may serve the request.
        """
        rules = self._binding_rules(regions)
        if not rules:
            return list(endpoints)
        return [
            item
            for item in endpoints
            if not any(rule.find_obstacle(item, regions) for rule in rules)
        ]

    def may_use(self, endpoint: Endpoint, regions: AllowedRegions = None) -> bool:
        """Returns whether an endpoint may get a request now."""
        return self.find_obstacle(endpoint, regions) is None

    def find_obstacle(
        self, endpoint: Endpoint, regions: AllowedRegions = None
    ) -> Obstacle | None:
        """Returns the obstacle that lasts longest, or None if there is none."""
        found = [
            rule.find_obstacle(endpoint, regions)
            for rule in self._binding_rules(regions)
        ]
        obstacles = [item for item in found if item is not None]
        return max(obstacles, key=lambda item: item.until, default=None)

    def find_pool_obstacle(
        self, pool: str, regions: AllowedRegions = None
    ) -> Obstacle | None:
        """Returns what keeps all ready endpoints of a pool from getting a request.

        :returns: the obstacle that ends first, one that is not the end of an endpoint
            if there is one; None if an endpoint may be used, or if none is ready.
        """
        rules = self._binding_rules(regions)
        if not rules:
            return None
        obstacles = []
        for endpoint in self._registry.ready(pool):
            obstacle = self.find_obstacle(endpoint, regions)
            if obstacle is None:
                return None
            obstacles.append(obstacle)
        return min(
            obstacles,
            key=lambda item: (item.until, item.reason == REASON_LEAVING),
            default=None,
        )

    def returns_at(self, pool: str, regions: AllowedRegions = None) -> float:
        """Returns from when on an endpoint of a pool may get a request.

        :returns: loop time in seconds, in the past if one may now; infinity if no time
            is known.
        """
        if not self._registry.has_ready(pool):
            return NEVER
        obstacle = self.find_pool_obstacle(pool, regions)
        return float("-inf") if obstacle is None else obstacle.until

    def check(self, endpoint: Endpoint, regions: AllowedRegions = None) -> None:
        """Checks an endpoint right before something is sent to it.

        :raises SendFailure: if it is gone, has restarted or may not be used.
        """
        current = self._registry.find(endpoint.id)
        if current is None or not _lists(current, endpoint):
            detail = "the endpoint no longer accepts requests"
            raise SendFailure(detail, False, REASON_LEAVING, is_withdrawn=True)
        obstacle = self.find_obstacle(current, regions)
        if obstacle is not None:
            raise SendFailure(
                obstacle.detail, False, obstacle.reason, is_withdrawn=True
            )

    def _binding_rules(self, regions: AllowedRegions) -> list[Rule]:
        """Returns the rules that may keep an endpoint from a request now."""
        return [item for item in self._rule_by_name.values() if item.may_bind(regions)]

    def _report_change(self) -> None:
        self.app.events.emit(ELIGIBILITY_CHANGED)


def _lists(current: Endpoint, chosen: Endpoint) -> bool:
    """Returns whether the entry of now still lists the endpoint that was chosen."""
    is_same_place = (current.address, current.pool) == (chosen.address, chosen.pool)
    is_ready = current.state is EndpointState.READY
    return is_ready and is_same_place and current.is_same_process(chosen)
