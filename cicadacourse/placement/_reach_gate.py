"""Refuses requests while no endpoint of their pool can be connected to.

The expected load is an instance, or all of them, that has lost its links to all
endpoints of a pool for seconds. Each request would wait for connections that time out,
one after another. They are refused instead, until a connection that is tried in the
background is made.
"""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.eligibility import NEVER, Eligibility
from cicadacourse.errors import Error
from cicadacourse.placement import _errors as errors
from cicadacourse.reachability import Reachability


class ReachGate:
    """Checks whether an endpoint of a pool is reached from here or by a peer."""

    def __init__(self, app: Application) -> None:
        self._app = app
        catalog_service: CatalogService = app.get("catalog")
        self._registry = catalog_service.registry
        self._eligibility: Eligibility = app.get("eligibility")

    def find_refusal(self, pool: str) -> Error | None:
        """Returns the error if no endpoint of a pool is reached, else None.

        Endpoints that may not be used, now or at a known time, don't count.
        """
        reachability: Reachability | None = self._app.find("reachability")
        if reachability is None or not reachability.have_links_failed:
            return None
        endpoints = [item for item in self._registry.ready(pool) if self._counts(item)]
        if not reachability.are_unreachable(endpoints):
            return None
        return errors.pool_unreachable(pool)

    def _counts(self, endpoint: Endpoint) -> bool:
        obstacle = self._eligibility.find_obstacle(endpoint)
        return obstacle is None or obstacle.until < NEVER
