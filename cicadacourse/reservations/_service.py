"""Reserves memory on several engines, all or nothing, for as long as one request runs.

Each ticket is held for a short lease that is renewed, so that nothing stays reserved
when this instance dies, is paused or is cut off.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Any, AsyncIterator, Coroutine, Sequence

import attrs
from returns.result import Failure, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
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
from cicadacourse.reservations._client import KvCacheClient
from cicadacourse.util.clock import now

RESERVATIONS = declare(
    "reservations_total", "Tickets asked of engines, by action and outcome."
)

HOLD_S = 3.5
RENEW_PERIOD_S = 1.2
# Connections in a row that fail before the writing engine is taken to be dead.
MAX_UNREACHED = 2
RELEASE_TRIES = 3
RELEASE_PAUSE_S = 0.2
RETRY_AFTER_S = 0.5


@attrs.frozen
class Reservation:
    """Memory that is reserved on one engine."""

    endpoint: Endpoint
    id: str
    tokens: int


class ReservationRefused(CicadacourseError):
    """Not all tickets of a prompt could be had.

    :param endpoints: the engines that refused or gave no answer.
    """

    def __init__(self, error: Error, endpoints: tuple[Endpoint, ...]) -> None:
        super().__init__(error)
        self.endpoints = endpoints


@SERVICES.register("reservations")
class ReservationService(Service):
    """Keeps the tickets of requests in progress."""

    name = "reservations"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._numbers = itertools.count(1)
        self._started = f"{now():.3f}"
        self._tasks: set[asyncio.Task[Any]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Lets releases in progress end when the instance stops."""
        try:
            yield
        finally:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def hold(
        self, request_id: str, decode_engine: Endpoint, plans: Sequence[ReservationPlan]
    ) -> AsyncIterator[tuple[Reservation, ...]]:
        """Holds all tickets while it is open and the writing engine lives.

        If that engine can't be reached, exchanges with it are broken off, so that the
        others' memory is not held for a request that is over.

        :param decode_engine: the engine that the request is sent to.

        :raises ReservationRefused: if one of them can't be had; none is kept then.
        """
        tickets = tuple(self._make_ticket(plan) for plan in plans)
        renewal: asyncio.Task[None] | None = None
        try:
            await self._reserve_all(request_id, tickets)
            renewal = self._start(self._renew(request_id, decode_engine, tickets))
            yield tickets
        finally:
            if renewal is not None:
                renewal.cancel()
            for ticket in tickets:
                self._start(self._release(ticket))

    def _make_ticket(self, plan: ReservationPlan) -> Reservation:
        number = next(self._numbers)
        ticket_id = f"{self._own_name}-{self._started}-{number}"
        return Reservation(plan.endpoint, ticket_id, plan.tokens)

    async def _reserve_all(
        self, request_id: str, tickets: Sequence[Reservation]
    ) -> None:
        results = await asyncio.gather(*(self._reserve(item) for item in tickets))
        refused = [
            (ticket, result.failure())
            for ticket, result in zip(tickets, results)
            if isinstance(result, Failure)
        ]
        log(
            KV_CACHE_NOT_RESERVED if refused else KV_CACHE_RESERVED,
            request=request_id,
            tickets=len(tickets),
            tokens=sum(ticket.tokens for ticket in tickets),
            refused_by=[ticket.endpoint.id for ticket, _ in refused],
        )
        if refused:
            detail = f"no memory at {refused[0][0].endpoint.id}: {refused[0][1].detail}"
            error = Error(ErrorKind.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)
            raise ReservationRefused(
                error, tuple(ticket.endpoint for ticket, _ in refused)
            )

    async def _reserve(self, ticket: Reservation) -> Any:
        client = self.app.get("memory_client")
        result = await client.reserve(ticket.endpoint, ticket.id, ticket.tokens, HOLD_S)
        outcome = "ok" if isinstance(result, Success) else "failed"
        self.app.metrics.count(RESERVATIONS, action="reserve", outcome=outcome)
        return result

    async def _renew(
        self, request_id: str, writer: Endpoint, tickets: Sequence[Reservation]
    ) -> None:
        """Renews all tickets until it is cancelled or the writing engine is dead."""
        client: KvCacheClient = self.app.get("memory_client")
        failures = 0
        while failures < MAX_UNREACHED:
            await asyncio.sleep(RENEW_PERIOD_S)
            reached, *results = await asyncio.gather(
                client.is_reachable(writer), *(self._reserve(item) for item in tickets)
            )
            failures = 0 if reached else failures + 1
            _log_failures(request_id, tickets, results)
        log(DECODE_ENGINE_DEAD, request=request_id, endpoint=writer.id)
        self.app.get("endpoint_caller").abort_exchanges(writer.id)

    async def _release(self, ticket: Reservation) -> None:
        client = self.app.get("memory_client")
        for _ in range(RELEASE_TRIES):
            match await client.release(ticket.endpoint, ticket.id):
                case Success(_):
                    self.app.metrics.count(RESERVATIONS, action="release", outcome="ok")
                    return
                case Failure(error):
                    detail = error.detail
            await asyncio.sleep(RELEASE_PAUSE_S)
        self.app.metrics.count(RESERVATIONS, action="release", outcome="failed")
        log(
            RESERVATION_LEFT_TO_EXPIRE,
            endpoint=ticket.endpoint.id,
            ticket=ticket.id,
            reason=detail,
        )

    def _start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _log_failures(
    request_id: str, tickets: Sequence[Reservation], results: Sequence[Any]
) -> None:
    for ticket, result in zip(tickets, results):
        if isinstance(result, Failure):
            log(
                RESERVATION_NOT_RENEWED,
                request=request_id,
                endpoint=ticket.endpoint.id,
                reason=result.failure().detail,
            )
