"""Which pool serves an accepted request, whatever has changed since it was admitted.

The expected load is a change of the configuration each second, which moves routes,
splits them and drops pools, beside requests that are queued, tried again and resumed.
"""

from __future__ import annotations

import random

from returns.result import Failure, Result, Success

from cicadacourse.catalog import Catalog, CatalogService, Pool, Route
from cicadacourse.eligibility import NEVER, AllowedRegions, Eligibility
from cicadacourse.errors import Error
from cicadacourse.logs import REQUEST_MOVED, log
from cicadacourse.placement import _errors as errors
from cicadacourse.placement._model import AdmissionTerms, PlacementRequest


class Pools:
    """Finds the pools of requests in the configuration in force and the registry."""

    def __init__(
        self, catalog_service: CatalogService, eligibility: Eligibility
    ) -> None:
        self._catalog_service = catalog_service
        self._eligibility = eligibility

    def resolve(self, request: PlacementRequest) -> Result[Pool, Error]:
        """Returns the pool that serves a request from now on.

        It is the one that the request was admitted to, as long as that has a live
        endpoint, else one that the configuration in force allows.
        """
        pool = self.current(request)
        if pool is not None and not self.is_empty(pool.name, request.regions):
            return Success(pool)
        successor = self._find_successor(request)
        if successor is not None:
            return Success(successor)
        if pool is None:
            return Failure(errors.pool_unknown(request.pool))
        obstacle = self._eligibility.find_pool_obstacle(pool.name, request.regions)
        return Failure(errors.pool_not_eligible(pool.name, obstacle))

    def current(self, request: PlacementRequest) -> Pool | None:
        """Returns a request's pool, by the newest configuration that has it."""
        catalog = self._catalog_service.catalog
        configured = catalog.pool_by_name.get(request.pool) if catalog else None
        if configured is not None or request.terms is None:
            return configured
        admitted = request.terms.pool
        return admitted if admitted and admitted.name == request.pool else None

    def is_empty(self, pool: str, regions: AllowedRegions) -> bool:
        """Returns whether no endpoint of a pool may be used, now or at a known time.

        :param regions: the regions that may serve the request.
        """
        return self.returns_at(pool, regions) == NEVER

    def returns_at(self, pool: str, regions: AllowedRegions) -> float:
        """Returns from when on an endpoint of a pool may get a request.

        See :meth:`Eligibility.returns_at`.
        """
        return self._eligibility.returns_at(pool, regions)

    def _find_successor(self, request: PlacementRequest) -> Pool | None:
        """Returns a pool to which the configuration in force admits a request."""
        catalog = self._catalog_service.catalog
        if catalog is None or request.terms is None:
            return None
        route = _find_route(catalog, request.terms)
        pool = self._choose_pool(catalog, route, request.regions) if route else None
        if pool is not None:
            log(
                REQUEST_MOVED,
                request=request.request_id,
                pool=pool.name,
                former_pool=request.pool,
                configuration=catalog.version,
            )
        return pool

    def _choose_pool(
        self, catalog: Catalog, route: Route, regions: AllowedRegions
    ) -> Pool | None:
        """Returns a random pool of a route by weight, among those with endpoints."""
        weight_by_name = {share.pool: share.weight for share in route.shares}
        pools = [
            pool
            for pool in catalog.find_pools(route)
            if weight_by_name[pool.name] > 0 and not self.is_empty(pool.name, regions)
        ]
        if not pools:
            return None
        return random.choices(pools, [weight_by_name[pool.name] for pool in pools])[0]


def _find_route(catalog: Catalog, terms: AdmissionTerms) -> Route | None:
    """Returns the route that a configuration has for an admitted request.

    None if it does not allow the request, or only for another organisation or as one
    that may run more often or less often than was assumed until now.
    """
    route = catalog.find_route(terms.host, terms.target)
    if route is None or not catalog.is_allowed(route, terms.key):
        return None
    organisation = catalog.find_organisation(terms.key)
    former_name = terms.organisation.name if terms.organisation else None
    if (organisation.name if organisation else None) != former_name:
        return None
    is_alike = (route.kind, route.is_idempotent) == (
        terms.route.kind,
        terms.route.is_idempotent,
    )
    return route if is_alike else None
