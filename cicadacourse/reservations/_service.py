"""Reserves KV cache on several engines, all or nothing, while one request runs.

Each reservation has a short lease that is renewed, so that no KV cache stays reserved
when this instance dies, is paused or is partitioned from the engine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Any, AsyncIterator, Awaitable, Callable, Sequence

import attrs
from returns.result import Failure, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.exchange import SendFailure
from cicadacourse.logs import (
    DECODE_ENGINE_DEAD,
    KV_CACHE_NOT_RESERVED,
    KV_CACHE_RESERVED,
    RESERVATION_LEFT_TO_EXPIRE,
    RESERVATION_NOT_RENEWED,
    log,
)
from cicadacourse.metrics import declare
from cicadacourse.placement import ReservationPlan
from cicadacourse.reservations._engine_watch import EngineWatch
from cicadacourse.reservations._settings import ReservationSettings
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

RESERVATIONS = declare(
    "reservations_total", "KV-cache reservation calls, by action and outcome."
)

# A reservation expires on its engine unless it is renewed within this time.
LEASE_S = 3.5
RENEW_PERIOD_S = 1.2
# How long it takes until reservations are made before a request is sent, and released
# after it has ended.
RELEASE_MARGIN_S = 0.5
# A prompt on several engines may take this long until its first event, and this many
# times the estimate.
MIN_SILENT_S = 2.0
ESTIMATE_FACTOR = 1.5
RELEASE_ATTEMPTS = 3
RELEASE_RETRY_DELAY_S = 0.2
RETRY_AFTER_S = 0.5
REASON_DEAD = "connection_broken"


@attrs.frozen
class Reservation:
    """KV cache that is reserved on one engine."""

    endpoint: Endpoint
    id: str
    tokens: int


class ReservationRefused(CicadacourseError):
    """Not all reservations of a prompt could be made.

    :param endpoints: the engines that refused or did not respond.
    """

    def __init__(self, error: Error, endpoints: tuple[Endpoint, ...]) -> None:
        super().__init__(error)
        self.endpoints = endpoints


@SERVICES.register("reservations")
class ReservationService(Service):
    """Holds and renews the reservations of requests in progress."""

    name = "reservations"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._numbers = itertools.count(1)
        self._started = f"{now():.3f}"
        self._tasks = Tasks(app.metrics, "reservations")
        settings = app.settings.get(ReservationSettings)
        max_silent_s = settings.unused_bound_s - LEASE_S - RELEASE_MARGIN_S
        self._max_silent_s = max(MIN_SILENT_S, max_silent_s)
        self._engine_watch = EngineWatch(app)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Waits for releases in progress when the instance stops."""
        try:
            yield
        finally:
            await self._tasks.wait()

    @contextlib.asynccontextmanager
    async def hold(
        self,
        request_id: str,
        decode_engine: Endpoint,
        plans: Sequence[ReservationPlan],
        silent_s: Callable[[], float],
        expected_s: float = 0.0,
    ) -> AsyncIterator[tuple[Reservation, ...]]:
        """Holds all reservations while the context is open and the decode engine lives.

        The context is cancelled if the decode engine is dead, or sends no data for so
        long that it has hardly begun with the request. So no KV cache stays reserved on
        the helpers for a request that is over or does not use it.

        :param decode_engine: the engine that the request is sent to.
        :param plans: the reservations to make on the helpers.
        :param silent_s: returns for how many seconds the request has waited for data of
            the decode engine, 0 while it waits for its caller.
        :param expected_s: the estimated seconds to its first event.
        :raises ReservationRefused: if one of them can't be made; none is kept then.
        :raises SendFailure: if the decode engine is dead.
        """
        reservations = tuple(self._make_reservation(plan) for plan in plans)
        tasks: list[asyncio.Task[None]] = []
        scope = asyncio.timeout(None)
        try:
            await self._reserve_all(request_id, reservations)
            tasks.append(self._tasks.start(self._renew(request_id, reservations)))
            async with scope:
                limit_s = max(self._max_silent_s, ESTIMATE_FACTOR * expected_s)
                dead = self._engine_watch.wait_until_dead(
                    decode_engine, silent_s, limit_s
                )
                watch = self._end_when_dead(request_id, decode_engine, dead, scope)
                tasks.append(self._tasks.start(watch))
                yield reservations
        except TimeoutError as error:
            if not scope.expired():
                raise
            detail = f"{decode_engine.id} sends no data"
            raise SendFailure(detail, True, REASON_DEAD, is_broken_off=True) from error
        finally:
            for task in tasks:
                task.cancel()
            for reservation in reservations:
                self._tasks.start(self._release(reservation))

    def _make_reservation(self, plan: ReservationPlan) -> Reservation:
        number = next(self._numbers)
        reservation_id = f"{self._own_name}-{self._started}-{number}"
        return Reservation(plan.endpoint, reservation_id, plan.tokens)

    async def _reserve_all(
        self, request_id: str, reservations: Sequence[Reservation]
    ) -> None:
        results = await asyncio.gather(*(self._reserve(item) for item in reservations))
        refused = [
            (reservation, result.failure())
            for reservation, result in zip(reservations, results)
            if isinstance(result, Failure)
        ]
        log(
            KV_CACHE_NOT_RESERVED if refused else KV_CACHE_RESERVED,
            request=request_id,
            tickets=len(reservations),
            tokens=sum(reservation.tokens for reservation in reservations),
            refused_by=[reservation.endpoint.id for reservation, _ in refused],
        )
        if refused:
            detail = (
                f"no KV cache at {refused[0][0].endpoint.id}: {refused[0][1].detail}"
            )
            error = Error(ErrorKind.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)
            raise ReservationRefused(
                error, tuple(reservation.endpoint for reservation, _ in refused)
            )

    async def _reserve(self, reservation: Reservation, is_renewal: bool = False) -> Any:
        client = self.app.get("memory_client")
        result = await client.reserve(
            reservation.endpoint,
            reservation.id,
            reservation.tokens,
            LEASE_S,
            is_renewal,
        )
        outcome = "ok" if isinstance(result, Success) else "failed"
        self.app.metrics.count(RESERVATIONS, action="reserve", outcome=outcome)
        return result

    async def _renew(
        self, request_id: str, reservations: Sequence[Reservation]
    ) -> None:
        """Renews the reservations until cancelled."""
        while True:
            await asyncio.sleep(RENEW_PERIOD_S)
            results = await asyncio.gather(
                *(self._reserve(item, is_renewal=True) for item in reservations)
            )
            _log_failures(request_id, reservations, results)

    async def _end_when_dead(
        self,
        request_id: str,
        decode_engine: Endpoint,
        dead: Awaitable[str],
        scope: asyncio.Timeout,
    ) -> None:
        """Ends the scope of a request once its decode engine is dead.

        :param dead: returns why the engine counts as dead, once it does.
        """
        reason = await dead
        log(
            DECODE_ENGINE_DEAD,
            request=request_id,
            endpoint=decode_engine.id,
            reason=reason,
        )
        scope.reschedule(asyncio.get_running_loop().time())

    async def _release(self, reservation: Reservation) -> None:
        client = self.app.get("memory_client")
        for _ in range(RELEASE_ATTEMPTS):
            match await client.release(reservation.endpoint, reservation.id):
                case Success(_):
                    self.app.metrics.count(RESERVATIONS, action="release", outcome="ok")
                    return
                case Failure(error):
                    detail = error.detail
            await asyncio.sleep(RELEASE_RETRY_DELAY_S)
        self.app.metrics.count(RESERVATIONS, action="release", outcome="failed")
        log(
            RESERVATION_LEFT_TO_EXPIRE,
            endpoint=reservation.endpoint.id,
            ticket=reservation.id,
            reason=detail,
        )


def _log_failures(
    request_id: str, reservations: Sequence[Reservation], results: Sequence[Any]
) -> None:
    for reservation, result in zip(reservations, results):
        if isinstance(result, Failure):
            log(
                RESERVATION_NOT_RENEWED,
                request=request_id,
                endpoint=reservation.endpoint.id,
                reason=result.failure().detail,
            )
