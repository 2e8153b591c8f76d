"""Chooses endpoints for a request by the load that is known at the moment.

The modules ``_admission``, ``_calls``, ``_engines`` and ``_kv_cache`` hold the rules.
"""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint, Pool
from cicadacourse.config import InstanceSettings
from cicadacourse.eligibility import NEVER, AllowedRegions, Eligibility
from cicadacourse.limits import EndpointLimits
from cicadacourse.load import LoadService
from cicadacourse.placement._admission import admit_prompt, soonest_first_event_s
from cicadacourse.placement._calls import choose_endpoint
from cicadacourse.placement._ejections import Ejections
from cicadacourse.placement._model import Candidate, Placement, PlacementRequest
from cicadacourse.placement._placements import place_call, place_prompt
from cicadacourse.util import hashing
from cicadacourse.util.clock import now


class Chooser:
    """Chooses among the usable endpoints of a pool.

    :param instance: name and failure domain of this instance.
    """

    def __init__(
        self,
        app: Application,
        instance: InstanceSettings,
        ejections: Ejections,
        eligibility: Eligibility,
    ) -> None:
        self._catalog_service: CatalogService = app.get("catalog")
        self._load: LoadService = app.get("load")
        self._limits: EndpointLimits = app.get("limits")
        self._instance = instance
        self._ejections = ejections
        self._eligibility = eligibility

    def usable_endpoints(
        self, pool: str, regions: AllowedRegions = None
    ) -> list[Endpoint]:
        """Returns the endpoints of a pool that may be used.

        Those that may not get requests are left out, and so are ejected ones, up to
        the largest share of the others that may be ejected.
        """
        ready = self._catalog_service.registry.ready(pool)
        eligible = self._eligibility.select(ready, regions)
        return self._ejections.select_usable(eligible)

    def _count_staying(self, request: PlacementRequest) -> int:
        """Returns how many endpoints may get a request now or at a known time."""
        obstacles = [
            self._eligibility.find_obstacle(item, request.regions)
            for item in self._catalog_service.registry.ready(request.pool)
        ]
        return sum(item is None or item.until < NEVER for item in obstacles)

    def is_deadline_unreachable(self, request: PlacementRequest, pool: Pool) -> bool:
        """Returns whether even an idle pool would miss the deadline of a prompt."""
        if pool.engine is None:
            return False
        if pool.engine.prefill_s(request.prompt_tokens) < request.time_left_s:
            return False
        engines = self._count_staying(request)
        soonest_s = soonest_first_event_s(request, pool.engine, engines)
        return engines > 0 and soonest_s >= request.time_left_s

    def candidates(
        self,
        pool: Pool,
        regions: AllowedRegions = None,
        with_limited: bool = False,
    ) -> list[Candidate]:
        """Returns the usable endpoints of a pool with their current load.

        :param regions: the regions that may serve the request.
        :param with_limited: whether those are included that take no more requests at
            the moment by their own limit.
        """
        now_s = now()
        limit = pool.max_connections
        table = self._load.table
        requests = table.count_own_requests() if limit else {}
        has_limits = self._limits.has_any
        declines = self._eligibility.declines
        are_any_in_need = declines.are_any_in_need
        usable = self.usable_endpoints(pool.name, regions)
        if has_limits and not with_limited:
            usable = [
                item for item in usable if self._limits.available_at(item) <= now_s
            ]
        return [
            Candidate(
                endpoint=item,
                load=table.load_of(item.id, now_s),
                is_same_domain=item.failure_domain == self._instance.failure_domain,
                tie_break=hashing.score(self._instance.name, item.id),
                has_connection=not limit or requests.get(item.id, 0) < limit,
                may_help=not has_limits or self._limits.limit_of(item) is None,
                is_in_need=are_any_in_need and declines.is_in_need(item),
            )
            for item in usable
        ]

    def has_limits(self, request: PlacementRequest) -> bool:
        """Returns whether any endpoint that a request may use has a limit."""
        if not self._limits.has_any:
            return False
        usable = self.usable_endpoints(request.pool, request.regions)
        return any(self._limits.limit_of(item) is not None for item in usable)

    def endpoints_at_limit(self, request: PlacementRequest) -> list[Endpoint]:
        """Returns the endpoints for a request if all of them are at their limits.

        Those that take another request soonest come first. Empty if any usable endpoint
        is not at its limit.
        """
        if not self._limits.has_any:
            return []
        usable = self.usable_endpoints(request.pool, request.regions)
        now_s = now()
        if any(self._limits.available_at(item) <= now_s for item in usable):
            return []
        return sorted(usable, key=self._limits.available_at)

    def has_connection(self, endpoint: Endpoint, pool: Pool) -> bool:
        """Returns whether its pool allows another connection to an endpoint now."""
        if not pool.max_connections:
            return True
        requests = self._load.table.count_own_requests()
        return requests[endpoint.id] < pool.max_connections

    def lacks_connections(self, request: PlacementRequest, pool: Pool) -> bool:
        """Returns whether an endpoint has a free slot but no connection to use it."""
        return any(
            item.has_slot and not item.has_connection
            for item in self.candidates(pool, request.regions)
        )

    def try_place(
        self, request: PlacementRequest, pool: Pool, candidates: list[Candidate]
    ) -> Placement | None:
        """Returns a placement, or None if the request has to wait.

        Endpoints that have failed the request are used only if there are no others.
        Those that are in need are used if no other one is free. A request that must not
        risk a refusal waits for the others until its latency objective is missed.
        """
        not_avoided = [
            item for item in candidates if item.endpoint.id not in request.avoided_ids
        ]
        candidates = not_avoided or candidates
        others = [item for item in candidates if not item.is_in_need]
        if others and len(others) < len(candidates):
            placement = _try_place(request, pool, others)
            may_risk_refusal = request.may_risk_refusal or request.target_s <= 0
            if placement is not None or not may_risk_refusal:
                return placement
        return _try_place(request, pool, candidates)


def _try_place(
    request: PlacementRequest, pool: Pool, candidates: list[Candidate]
) -> Placement | None:
    if pool.engine is None or not request.prompt_tokens:
        chosen = choose_endpoint(candidates)
        return None if chosen is None else place_call(chosen)
    choice = admit_prompt(request, pool.engine, candidates)
    return None if choice is None else place_prompt(request, choice)
