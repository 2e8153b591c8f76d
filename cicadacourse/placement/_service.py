"""Gives requests their places, and lets them wait in order while there is none."""

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
from cicadacourse.placement._calls import choose_endpoint
from cicadacourse.placement._contention import CONTENTION_WINDOW_S, must_yield
from cicadacourse.placement._health import EndpointHealth
from cicadacourse.placement._model import Candidate, Placement, PlacementRequest
from cicadacourse.placement._placements import place_call, place_prompt
from cicadacourse.placement._queue import Waiter, WaitQueue
from cicadacourse.placement._start import admit_prompt, soonest_first_event_s
from cicadacourse.util import hashing
from cicadacourse.util.clock import now

SET_ASIDE = declare("endpoints_set_aside_total", "Endpoints set aside, by reason.")
WAITING = declare("placement_waiting", "Requests that wait for a place, by pool.")

# An endpoint that was replaced is listed again within about this time.
RETRY_AFTER_NO_ENDPOINT_S = 1.0
# A stream of usual length frees its slot within about this time.
RETRY_AFTER_FULL_S = 0.5
# Long prompts that wait are looked at this often and not when the load changes, which
# all instances hear at once: at unlike times two seldom choose the same engines.
RECHECK_S = (0.02, 0.06)
# Timers may fire early by the clock's resolution.
TIMER_SLACK_S = 0.002


@SERVICES.register("placement")
class Placer(Service):
    """Places requests by what is known of the fleet; see the choosers' modules."""

    name = "placement"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.health = EndpointHealth()
        self._keeper: CatalogService = app.get("catalog")
        self._load: LoadService = app.get("load")
        instance = app.settings.get(InstanceSettings)
        self._own_name = instance.name
        self._failure_domain = instance.failure_domain
        self._queue = WaitQueue()
        self._is_scheduled = False
        self._recheck: asyncio.TimerHandle | None = None
        app.events.connect(LOAD_CHANGED, self._schedule)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    @contextlib.asynccontextmanager
    async def place(
        self, need: PlacementRequest
    ) -> AsyncIterator[Result[Placement, Error]]:
        """Yields a place, at once or when one is free before the need expires.

        The place's runs are noted as in progress while it is open.
        """
        pool = self._find_pool(need.pool)
        if pool is None:
            detail = f"pool {need.pool} is not in the configuration"
            yield Failure(_no_endpoint(detail))
            return
        if self._is_hopeless(need, pool):
            detail = f"no engines of pool {need.pool} can read the prompt in time"
            yield Failure(_unreachable(detail))
            return
        waiter = self._queue.make_waiter(need, pool.engine, now())
        while True:
            result = await self._find(waiter, pool)
            if isinstance(result, Failure):
                yield result
                return
            placement = result.unwrap()
            with self._load.track(*placement.assignments):
                if await self._is_kept(waiter, placement):
                    yield result
                    return
            await asyncio.sleep(random.uniform(*RECHECK_S))

    async def _find(self, waiter: Waiter, pool: Pool) -> Result[Placement, Error]:
        """Returns a place as soon as it is the waiter's turn and there is one."""
        need = waiter.request_at(now())
        if self._queue.is_next(waiter):
            placement = self._try(need, pool, self._candidates(pool.name))
            if placement is not None:
                return Success(placement)
        if not self._keeper.registry.ready(need.pool):
            return Failure(_no_endpoint(f"pool {need.pool} has no live endpoint"))
        return await self._wait(waiter)

    async def _is_kept(self, waiter: Waiter, placement: Placement) -> bool:
        """Returns whether a place is kept once the others' choices are heard."""
        if not waiter.is_long or not self._has_others():
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

    def _has_others(self) -> bool:
        return len(self.app.get("membership").members()) > 1

    def usable_endpoints(self, pool: str) -> list[Endpoint]:
        """Returns the endpoints of a pool that take new work and are not set aside."""
        ready = self._keeper.registry.ready(pool)
        ids = self.health.usable_ids([item.id for item in ready], now())
        return [item for item in ready if item.id in ids]

    def report_transport_failure(self, endpoint_id: str, reason: str) -> None:
        """Notes that an endpoint could not be reached, broke off or was silent."""
        for_s = self.health.record_transport_failure(endpoint_id, now())
        self._log_set_aside(endpoint_id, for_s, reason)

    def report_error_answer(self, endpoint_id: str) -> None:
        """Notes that an endpoint answered with a failure."""
        for_s = self.health.record_error_answer(endpoint_id, now())
        self._log_set_aside(endpoint_id, for_s, "error_answers")

    def report_refusal(self, endpoint_id: str) -> None:
        """Notes that an endpoint did not take a request."""
        for_s = self.health.record_refusal(endpoint_id, now())
        self._log_set_aside(endpoint_id, for_s, "refusal")

    def _log_set_aside(self, endpoint_id: str, for_s: float, reason: str) -> None:
        if for_s:
            self.app.metrics.count(SET_ASIDE, reason=reason)
            log(ENDPOINT_EJECTED, endpoint=endpoint_id, for_s=for_s, reason=reason)
            loop = asyncio.get_running_loop()
            loop.call_later(for_s + TIMER_SLACK_S, self._look_whether_back, endpoint_id)

    def _look_whether_back(self, endpoint_id: str) -> None:
        """Offers an endpoint to those that wait once its time is up."""
        if self._keeper.registry.find(endpoint_id) is None:
            return
        if not self.health.is_ejected(endpoint_id, now()):
            log(ENDPOINT_READMITTED, endpoint=endpoint_id)
            self._schedule()

    def _find_pool(self, name: str) -> Pool | None:
        catalog = self._keeper.catalog
        return catalog.pool_by_name.get(name) if catalog else None

    def _is_hopeless(self, need: PlacementRequest, pool: Pool) -> bool:
        """Returns whether even an idle pool would be too slow for a prompt."""
        if pool.engine is None:
            return False
        if pool.engine.prefill_s(need.prompt_tokens) < need.time_left_s:
            return False
        engines = len(self._keeper.registry.ready(need.pool))
        soonest_s = soonest_first_event_s(need, pool.engine, engines)
        return engines > 0 and soonest_s >= need.time_left_s

    def _try(
        self, need: PlacementRequest, pool: Pool, candidates: list[Candidate]
    ) -> Placement | None:
        fresh = [
            item for item in candidates if item.endpoint.id not in need.avoided_ids
        ]
        candidates = fresh or candidates
        if pool.engine is None or not need.prompt_tokens:
            chosen = choose_endpoint(candidates)
            return None if chosen is None else place_call(chosen)
        choice = admit_prompt(need, pool.engine, candidates)
        return None if choice is None else place_prompt(need, choice)

    def _candidates(self, pool: str) -> list[Candidate]:
        """Returns the usable endpoints of a pool with their load now."""
        at = now()
        return [
            Candidate(
                endpoint=item,
                load=self._load.table.load_of(item.id, at),
                is_same_domain=item.failure_domain == self._failure_domain,
                tie_break=hashing.score(self._own_name, item.id),
            )
            for item in self.usable_endpoints(pool)
        ]

    async def _wait(self, waiter: Waiter) -> Result[Placement, Error]:
        need = waiter.request_at(now())
        waiter.placement = asyncio.get_running_loop().create_future()
        log(
            REQUEST_QUEUED,
            request=need.request_id,
            pool=need.pool,
            usable=len(self.usable_endpoints(need.pool)),
        )
        self._queue.add(waiter)
        self._count(need.pool)
        self._recheck_later()
        try:
            async with asyncio.timeout(need.wait_s):
                return Success(await waiter.placement)
        except TimeoutError:
            detail = f"no endpoint of pool {need.pool} came free in time"
            return Failure(
                Error(ErrorKind.OVERLOADED, detail, retry_after_s=RETRY_AFTER_FULL_S)
            )
        finally:
            self._queue.remove(waiter)
            self._count(need.pool)

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        current = self._keeper.registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self.health.forget(endpoint.id)
        self._schedule()

    def _schedule(self, *_: Any) -> None:
        """Looks for places once, however much has changed in this turn."""
        if len(self._queue) and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_scheduled)

    def _recheck_later(self) -> None:
        """Looks for places for long prompts again soon, as long as one waits."""
        if self._recheck is None and self._queue.has_long():
            delay_s = random.uniform(*RECHECK_S)
            self._recheck = asyncio.get_running_loop().call_later(
                delay_s, self._on_recheck
            )

    def _on_recheck(self) -> None:
        self._recheck = None
        self._place_first(is_long=True)
        self._recheck_later()

    def _place_scheduled(self) -> None:
        """Gives a place to the first short request that fits; its run calls again."""
        self._is_scheduled = False
        self._place_first(is_long=False)

    def _place_first(self, is_long: bool) -> None:
        """Gives a place to the first waiter of a line that fits."""
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
            placement = self._try(waiter.request_at(now()), pool, candidates)
            if placement is not None:
                waiter.placement.set_result(placement)
                return

    def _count(self, pool: str) -> None:
        self.app.metrics.set(WAITING, self._queue.count(pool), pool=pool)


def _unreachable(detail: str) -> Error:
    return Error(
        ErrorKind.DEADLINE_UNREACHABLE, detail, retry_after_s=RETRY_AFTER_FULL_S
    )


def _no_endpoint(detail: str) -> Error:
    return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=RETRY_AFTER_NO_ENDPOINT_S)
