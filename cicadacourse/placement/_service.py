"""Places requests on endpoints, and queues them while no endpoint has capacity."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any, AsyncIterator

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService, Endpoint, Pool
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.events import ENDPOINT_CHANGED, LOAD_CHANGED
from cicadacourse.load import LoadService
from cicadacourse.logs import (
    ENDPOINT_EJECTED,
    ENDPOINT_READMITTED,
    PLACEMENT_YIELDED,
    REQUEST_QUEUED,
    log,
)
from cicadacourse.metrics import declare
from cicadacourse.placement._admission import admit_prompt, soonest_first_event_s
from cicadacourse.placement._calls import choose_endpoint
from cicadacourse.placement._contention import CONTENTION_WINDOW_S, must_yield
from cicadacourse.placement._health import EndpointHealth
from cicadacourse.placement._model import Candidate, Placement, PlacementRequest
from cicadacourse.placement._placements import place_call, place_prompt
from cicadacourse.placement._queue import Waiter, WaitQueue
from cicadacourse.util import hashing
from cicadacourse.util.clock import now

EJECTIONS = declare("endpoints_set_aside_total", "Endpoints ejected, by reason.")
QUEUED = declare("placement_waiting", "Requests queued for an endpoint, by pool.")

# The replacement of an endpoint is listed in the registry within about this time.
RETRY_AFTER_NO_ENDPOINT_S = 1.0
# A stream of typical length frees its slot within about this time.
RETRY_AFTER_FULL_S = 0.5
# Range of the random interval at which queued long prompts are tried again. A change of
# the load reaches all instances at once, so trying again on each change would make them
# choose the same engines.
RECHECK_RANGE_S = (0.02, 0.06)
# Added to timers, which may fire early by the clock's resolution.
TIMER_SLACK_S = 0.002


@SERVICES.register("placement")
class Placer(Service):
    """Places requests by the known load of the endpoints.

    The modules ``_admission``, ``_calls``, ``_engines`` and ``_kv_cache`` choose
    endpoints.
    """

    name = "placement"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.health = EndpointHealth()
        self._catalog_service: CatalogService = app.get("catalog")
        self._load: LoadService = app.get("load")
        instance = app.settings.get(InstanceSettings)
        self._own_name = instance.name
        self._failure_domain = instance.failure_domain
        self._queue = WaitQueue()
        self._is_scheduled = False
        self._recheck_timer: asyncio.TimerHandle | None = None
        app.events.connect(LOAD_CHANGED, self._schedule)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    @contextlib.asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Placement, Error]]:
        """Yields a placement, at once or after a time in the queue.

        Its assignments count as in progress while the context is open. The result is a
        Failure if the pool is not configured or has no live endpoint, if the prompt
        can't be prefilled before its deadline, or if the request's time in the queue is
        over.
        """
        pool = self._find_pool(request.pool)
        if pool is None:
            detail = f"pool {request.pool} is not in the configuration"
            yield Failure(_no_endpoint(detail))
            return
        if self._is_deadline_unreachable(request, pool):
            detail = (
                f"pool {request.pool} cannot prefill the prompt before the deadline"
            )
            yield Failure(_deadline_unreachable(detail))
            return
        waiter = self._queue.make_waiter(request, pool.engine, now())
        while True:
            result = await self._find_placement(waiter, pool)
            if isinstance(result, Failure):
                yield result
                return
            placement = result.unwrap()
            with self._load.track(*placement.assignments):
                if await self._is_confirmed(waiter, placement):
                    yield result
                    return
            await asyncio.sleep(random.uniform(*RECHECK_RANGE_S))

    async def _find_placement(
        self, waiter: Waiter, pool: Pool
    ) -> Result[Placement, Error]:
        """Returns a placement once the request is next and an endpoint is free."""
        request = waiter.request_at(now())
        if self._queue.is_next(waiter):
            placement = self._try_place(request, pool, self._candidates(pool.name))
            if placement is not None:
                return Success(placement)
        if not self._catalog_service.registry.ready(request.pool):
            return Failure(_no_endpoint(f"pool {request.pool} has no live endpoint"))
        return await self._wait(waiter)

    async def _is_confirmed(self, waiter: Waiter, placement: Placement) -> bool:
        """Returns whether a placement is kept after a contention window.

        Only long prompts have one, and only if there are other instances.
        """
        if not waiter.is_long or not self._has_peers():
            return True
        await asyncio.sleep(CONTENTION_WINDOW_S)
        if not must_yield(
            self._own_name, placement.assignments, self._load.table, now()
        ):
            return True
        log(
            PLACEMENT_YIELDED,
            request=waiter.request.request_id,
            endpoint=placement.endpoint.id,
            helpers=[item.id for item in placement.helpers],
        )
        return False

    def _has_peers(self) -> bool:
        return len(self.app.get("membership").members()) > 1

    def usable_endpoints(self, pool: str) -> list[Endpoint]:
        """Returns the endpoints of a pool that accept requests and may be used.

        Ejected ones are left out, up to the largest share that may be ejected.
        """
        ready = self._catalog_service.registry.ready(pool)
        ids = self.health.usable_ids([item.id for item in ready], now())
        return [item for item in ready if item.id in ids]

    def report_transport_failure(self, endpoint_id: str, reason: str) -> None:
        """Records a failed connection, an aborted exchange or a missing response."""
        for_s = self.health.record_transport_failure(endpoint_id, now())
        self._record_ejection(endpoint_id, for_s, reason)

    def report_error_response(self, endpoint_id: str) -> None:
        """Records that an endpoint responded with an error."""
        for_s = self.health.record_error_response(endpoint_id, now())
        self._record_ejection(endpoint_id, for_s, "error_answers")

    def report_refusal(self, endpoint_id: str) -> None:
        """Records that an endpoint refused a request."""
        for_s = self.health.record_refusal(endpoint_id, now())
        self._record_ejection(endpoint_id, for_s, "refusal")

    def _record_ejection(self, endpoint_id: str, for_s: float, reason: str) -> None:
        if for_s:
            self.app.metrics.count(EJECTIONS, reason=reason)
            log(ENDPOINT_EJECTED, endpoint=endpoint_id, for_s=for_s, reason=reason)
            loop = asyncio.get_running_loop()
            loop.call_later(for_s + TIMER_SLACK_S, self._check_readmission, endpoint_id)

    def _check_readmission(self, endpoint_id: str) -> None:
        """Offers an endpoint to queued requests once its ejection is over."""
        if self._catalog_service.registry.find(endpoint_id) is None:
            return
        if not self.health.is_ejected(endpoint_id, now()):
            log(ENDPOINT_READMITTED, endpoint=endpoint_id)
            self._schedule()

    def _find_pool(self, name: str) -> Pool | None:
        catalog = self._catalog_service.catalog
        return catalog.pool_by_name.get(name) if catalog else None

    def _is_deadline_unreachable(self, request: PlacementRequest, pool: Pool) -> bool:
        """Returns whether even an idle pool would miss the deadline of a prompt."""
        if pool.engine is None:
            return False
        if pool.engine.prefill_s(request.prompt_tokens) < request.time_left_s:
            return False
        engines = len(self._catalog_service.registry.ready(request.pool))
        soonest_s = soonest_first_event_s(request, pool.engine, engines)
        return engines > 0 and soonest_s >= request.time_left_s

    def _try_place(
        self, request: PlacementRequest, pool: Pool, candidates: list[Candidate]
    ) -> Placement | None:
        """Returns a placement, or None if the request has to wait.

        Endpoints that have failed the request are used only if there are no others.
        """
        not_avoided = [
            item for item in candidates if item.endpoint.id not in request.avoided_ids
        ]
        candidates = not_avoided or candidates
        if pool.engine is None or not request.prompt_tokens:
            chosen = choose_endpoint(candidates)
            return None if chosen is None else place_call(chosen)
        choice = admit_prompt(request, pool.engine, candidates)
        return None if choice is None else place_prompt(request, choice)

    def _candidates(self, pool: str) -> list[Candidate]:
        """Returns the usable endpoints of a pool with their current load."""
        now_s = now()
        return [
            Candidate(
                endpoint=item,
                load=self._load.table.load_of(item.id, now_s),
                is_same_domain=item.failure_domain == self._failure_domain,
                tie_break=hashing.score(self._own_name, item.id),
            )
            for item in self.usable_endpoints(pool)
        ]

    async def _wait(self, waiter: Waiter) -> Result[Placement, Error]:
        """Queues a request until it is placed or its time in the queue is over."""
        request = waiter.request_at(now())
        waiter.placement = asyncio.get_running_loop().create_future()
        log(
            REQUEST_QUEUED,
            request=request.request_id,
            pool=request.pool,
            usable=len(self.usable_endpoints(request.pool)),
        )
        self._queue.add(waiter)
        self._update_queue_metric(request.pool)
        self._schedule_recheck()
        try:
            async with asyncio.timeout(request.wait_s):
                return Success(await waiter.placement)
        except TimeoutError:
            detail = f"no endpoint of pool {request.pool} came free in time"
            return Failure(
                Error(ErrorKind.OVERLOADED, detail, retry_after_s=RETRY_AFTER_FULL_S)
            )
        finally:
            self._queue.remove(waiter)
            self._update_queue_metric(request.pool)

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        current = self._catalog_service.registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self.health.forget(endpoint.id)
        self._schedule()

    def _schedule(self, *_: Any) -> None:
        """Schedules one try of queued short requests per turn of the event loop."""
        if len(self._queue) and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_scheduled)

    def _schedule_recheck(self) -> None:
        """Schedules the next try of queued long prompts, as long as there is one."""
        if self._recheck_timer is None and self._queue.has_long():
            delay_s = random.uniform(*RECHECK_RANGE_S)
            self._recheck_timer = asyncio.get_running_loop().call_later(
                delay_s, self._on_recheck
            )

    def _on_recheck(self) -> None:
        self._recheck_timer = None
        self._place_first(is_long=True)
        self._schedule_recheck()

    def _place_scheduled(self) -> None:
        """Places the first short request that fits.

        Its assignment changes the load, which schedules the next try.
        """
        self._is_scheduled = False
        self._place_first(is_long=False)

    def _place_first(self, is_long: bool) -> None:
        """Places the first request that fits, of the long or of the short queue."""
        candidates_by_pool: dict[str, list[Candidate]] = {}
        for waiter in self._queue:
            if waiter.is_long != is_long:
                continue
            pool = self._find_pool(waiter.request.pool)
            if pool is None:
                continue
            if pool.name not in candidates_by_pool:
                candidates_by_pool[pool.name] = self._candidates(pool.name)
            candidates = candidates_by_pool[pool.name]
            placement = self._try_place(waiter.request_at(now()), pool, candidates)
            if placement is not None:
                waiter.placement.set_result(placement)
                return

    def _update_queue_metric(self, pool: str) -> None:
        self.app.metrics.set(QUEUED, self._queue.count(pool), pool=pool)


def _deadline_unreachable(detail: str) -> Error:
    return Error(
        ErrorKind.DEADLINE_UNREACHABLE, detail, retry_after_s=RETRY_AFTER_FULL_S
    )


def _no_endpoint(detail: str) -> Error:
    return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=RETRY_AFTER_NO_ENDPOINT_S)
