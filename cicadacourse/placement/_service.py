"""Places requests on endpoints, and queues them while no endpoint has capacity."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import AsyncIterator

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint, Pool
from cicadacourse.config import InstanceSettings
from cicadacourse.eligibility import AllowedRegions, Eligibility
from cicadacourse.errors import Error
from cicadacourse.events import (
    CATALOG_CHANGED,
    ELIGIBILITY_CHANGED,
    ENDPOINT_CHANGED,
    ENDPOINT_ENDED,
    LINKS_CHANGED,
    LOAD_CHANGED,
)
from cicadacourse.load import LoadService
from cicadacourse.logs import PLACEMENT_YIELDED, REQUEST_QUEUED, log
from cicadacourse.metrics import declare
from cicadacourse.placement import _errors as errors
from cicadacourse.placement._chooser import Chooser
from cicadacourse.placement._contention import CONTENTION_WINDOW_S, must_yield
from cicadacourse.placement._decline_gate import DeclineGate
from cicadacourse.placement._dispatcher import RECHECK_RANGE_S, Dispatcher
from cicadacourse.placement._ejections import Ejections
from cicadacourse.placement._health import EndpointHealth
from cicadacourse.placement._limits import LimitGate
from cicadacourse.placement._model import Placement, PlacementRequest
from cicadacourse.placement._pool_waits import PoolWaits
from cicadacourse.placement._pools import Pools
from cicadacourse.placement._queue import Waiter, WaitQueue
from cicadacourse.placement._reach_gate import ReachGate
from cicadacourse.util.clock import now

QUEUED = declare("placement_waiting", "Requests queued for an endpoint, by pool.")

# While an endpoint of the pool names a limit, a queued request looks this often whether
# all endpoints have reached theirs.
LIMIT_RECHECK_S = 0.1


@SERVICES.register("placement")
class Placer(Service):
    """Places requests by the known load of the endpoints."""

    name = "placement"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        instance = app.settings.get(InstanceSettings)
        self._own_name = instance.name
        self._load: LoadService = app.get("load")
        self._queue = WaitQueue()
        self._ejections = Ejections(app, self._schedule)
        self._eligibility: Eligibility = app.get("eligibility")
        self._pools = Pools(app.get("catalog"), self._eligibility)
        self._reach_gate = ReachGate(app)
        self._pool_waits = PoolWaits(app, self._pools, self._reach_gate)
        self._chooser = Chooser(app, instance, self._ejections, self._eligibility)
        self._decline_gate = DeclineGate(self._eligibility, self._pools)
        self._limit_gate = LimitGate(app.get("limits"), self._chooser)
        self._dispatcher = Dispatcher(
            self._queue, self._chooser, self._pools, self._reach_gate
        )
        app.events.connect(LOAD_CHANGED, self._dispatcher.schedule)
        app.events.connect(CATALOG_CHANGED, self._dispatcher.schedule)
        app.events.connect(LINKS_CHANGED, self._links_changed)
        app.events.connect(ELIGIBILITY_CHANGED, self._eligibility_changed)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)
        app.events.connect(ENDPOINT_ENDED, self._endpoint_ended)

    @property
    def health(self) -> EndpointHealth:
        """The failures of the endpoints, which decide on their ejection."""
        return self._ejections.health

    @contextlib.asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Placement, Error]]:
        """Yields a placement, at once or after a time in the queue.

        Its assignments count as in progress while the context is open, and so does a
        connection to its endpoint. The result is a Failure if neither its pool nor
        another one that the configuration allows has a live endpoint, for a request
        that has begun if none comes back while it might be queued; if the prompt
        can't be prefilled before its deadline, if no endpoint is reached, if none
        accepts the request in time, by its limit or as it declines requests, or if the
        time in the queue is over.
        """
        with contextlib.ExitStack() as tracking:
            yield await self._place(request, tracking)

    async def _place(
        self, request: PlacementRequest, tracking: contextlib.ExitStack
    ) -> Result[Placement, Error]:
        """Places a request in its pool, or in another one once that is empty.

        :param tracking: keeps the assignments of the placement in progress.
        """
        while True:
            started = now()
            await self._eligibility.wait_until_current()
            match await self._pool_waits.resolve(request):
                case Success(Pool() as pool):
                    request = request.after(now() - started).in_pool(pool)
                case Failure(error):
                    return Failure(error)
            if self._chooser.is_deadline_unreachable(request, pool):
                return Failure(errors.deadline_unreachable(pool.name))
            waiter = self._queue.make_waiter(request, pool.engine, now())
            result = await self._place_in_pool(waiter, pool, tracking)
            if result is not None:
                return result
            request = waiter.request_at(now())

    async def _place_in_pool(
        self, waiter: Waiter, pool: Pool, tracking: contextlib.ExitStack
    ) -> Result[Placement, Error] | None:
        """Places a request in one pool; returns None once that is empty."""
        while True:
            result = await self._find_placement(waiter, pool)
            if not isinstance(result, Success):
                return result
            placement = result.unwrap()
            pool = self._pools.current(waiter.request) or pool
            # Another request may have been placed since the dispatcher's choice.
            if self._chooser.has_connection(placement.endpoint, pool):
                with contextlib.ExitStack() as attempt:
                    # Other instances compare a long prompt's choice with theirs.
                    tracked = self._load.track(
                        *placement.assignments, is_urgent=waiter.is_long
                    )
                    attempt.enter_context(tracked)
                    if await self._is_confirmed(waiter, placement):
                        if await self._may_send(waiter, placement):
                            tracking.enter_context(attempt.pop_all())
                            return result
                        # Another endpoint may take it at once.
                        continue
            await asyncio.sleep(random.uniform(*RECHECK_RANGE_S))

    def usable_endpoints(
        self, pool: str, regions: AllowedRegions = None
    ) -> list[Endpoint]:
        """Returns the endpoints of a pool that may be used.

        See :meth:`Chooser.usable_endpoints`.
        """
        return self._chooser.usable_endpoints(pool, regions)

    def report_transport_failure(self, endpoint_id: str, reason: str) -> None:
        """Records a failed connection, an aborted exchange or a missing response."""
        self._ejections.report_transport_failure(endpoint_id, reason)

    def report_error_response(self, endpoint_id: str) -> None:
        """Records that an endpoint responded with an error."""
        self._ejections.report_error_response(endpoint_id)

    def report_refusal(self, endpoint_id: str) -> None:
        """Records that an endpoint refused a request.

        One that has stated for how long it declines requests is not ejected as well.
        """
        endpoint = self.app.get("catalog").registry.find(endpoint_id)
        if endpoint is None or self._eligibility.declines.accepts(endpoint):
            self._ejections.report_refusal(endpoint_id)

    async def _find_placement(
        self, waiter: Waiter, pool: Pool
    ) -> Result[Placement, Error] | None:
        """Returns a placement once the request is next and an endpoint is free.

        :returns: None once the pool has no live endpoint, or none that is reached.
        """
        while True:
            # Its limits may have changed while the request was queued.
            pool = self._pools.current(waiter.request) or pool
            if self._reach_gate.find_refusal(pool.name) is not None:
                return None
            if self._queue.is_next(waiter):
                request = waiter.request_at(now())
                candidates = self._chooser.candidates(pool, request.regions)
                placement = self._chooser.try_place(request, pool, candidates)
                if placement is not None:
                    return Success(placement)
            if self._pools.is_empty(pool.name, waiter.request.regions):
                return None
            refusal = self._decline_gate.find_refusal(waiter.request_at(now()))
            if refusal is not None:
                return Failure(refusal)
            result = None
            at_limit = self._chooser.endpoints_at_limit(waiter.request)
            if at_limit:
                result = await self._limit_gate.reserve(waiter, pool, at_limit)
            result = result or await self._wait(waiter, pool)
            if result is not None:
                return result

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

    async def _may_send(self, waiter: Waiter, placement: Placement) -> bool:
        """Returns whether the endpoints of a placement take the request now."""
        may_send = await self._limit_gate.may_send(waiter, placement)
        return may_send and self._decline_gate.may_send(waiter.request, placement)

    def _has_peers(self) -> bool:
        return len(self.app.get("membership").members()) > 1

    async def _wait(
        self, waiter: Waiter, pool: Pool
    ) -> Result[Placement, Error] | None:
        """Queues a request until it is placed or its time in the queue is over.

        :returns: None if the pool and its endpoints have to be looked at again.
        """
        request = waiter.request_at(now())
        waiter.placement = asyncio.get_running_loop().create_future()
        self._log_queued(waiter)
        self._queue.add(waiter)
        self._update_queue_metric(request.pool)
        self._dispatcher.schedule_recheck()
        max_wait_s = self._max_wait_s(request)
        try:
            async with asyncio.timeout(max_wait_s):
                placement = await waiter.placement
                return None if placement is None else Success(placement)
        except TimeoutError:
            if max_wait_s < request.wait_s:
                return None
            if self._chooser.lacks_connections(request, pool):
                return Failure(errors.connections_in_use(request.pool))
            return Failure(errors.pool_full(request.pool))
        finally:
            self._queue.remove(waiter)
            # A cancelled waiter may have been placed; what it leaves is offered again.
            self._schedule()
            self._update_queue_metric(request.pool)

    def _log_queued(self, waiter: Waiter) -> None:
        if waiter.was_queued:
            return
        waiter.was_queued = True
        request = waiter.request
        log(
            REQUEST_QUEUED,
            request=request.request_id,
            pool=request.pool,
            usable=len(self.usable_endpoints(request.pool, request.regions)),
        )

    def _max_wait_s(self, request: PlacementRequest) -> float:
        """Returns for how long a request may wait without a look at the limits."""
        if self._chooser.has_limits(request):
            return min(request.wait_s, LIMIT_RECHECK_S)
        return request.wait_s

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        self._ejections.forget_former_process(endpoint)
        self._dispatcher.schedule_release()
        self._schedule()

    def _endpoint_ended(self, endpoint: Endpoint) -> None:
        self._ejections.report_ended(endpoint)

    def _links_changed(self, endpoint: Endpoint | None) -> None:
        self._dispatcher.schedule_release()
        self._schedule()

    def _eligibility_changed(self) -> None:
        self._pool_waits.report_change()
        self._dispatcher.schedule_release()
        self._schedule()

    def _schedule(self) -> None:
        self._dispatcher.schedule()

    def _update_queue_metric(self, pool: str) -> None:
        self.app.metrics.set(QUEUED, self._queue.count(pool), pool=pool)
