"""Tries endpoints for one request until one has answered it whole."""

from __future__ import annotations

import asyncio

import attrs
from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import (
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
    Helper,
    Reply,
    SendFailure,
)
from cicadacourse.gateway._attempts import Attempts
from cicadacourse.gateway._call import Call
from cicadacourse.gateway._events import EventSplitter
from cicadacourse.gateway._outcomes import Outcomes
from cicadacourse.gateway._times import StreamTimes
from cicadacourse.logs import RETRY_BUDGET_EXHAUSTED, log
from cicadacourse.metrics import RETRIES
from cicadacourse.placement import Placement, Placer, RetryBudget
from cicadacourse.reservations import (
    Reservation,
    ReservationRefused,
    ReservationService,
)
from cicadacourse.util.clock import now

_SERVER_ERROR = 500


@attrs.define
class Forwarder:
    """Serves one request; made anew for each.

    :param app: the application.
    :param call: the request with its limits.
    :param reply: where the answer goes.
    :param attempts: what has been tried.
    :param caller: sends to endpoints.
    :param budget: bounds repeats.
    """

    app: Application
    call: Call
    reply: Reply
    attempts: Attempts
    caller: EndpointClient
    budget: RetryBudget
    times: StreamTimes = attrs.field(factory=StreamTimes)
    _events: EventSplitter = attrs.field(factory=EventSplitter)
    _outcomes: Outcomes = attrs.field(init=False)

    @_outcomes.default
    def _make_outcomes(self) -> Outcomes:
        return Outcomes(self.app, self.call, self.attempts)

    async def run(self) -> Error | None:
        """Returns None once the answer is written, else why it can't be had."""
        pool = self.call.choose_pool()
        if pool is None:
            detail = f"route {self.call.route.name} has no pool"
            return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=1.0)
        self._events.last_id = self.call.request.last_event_id
        self.budget.record_first_attempt(pool, now())
        while True:
            if self.attempts.failed and not self._may_repeat(pool):
                return self.attempts.final_error()
            need = self.call.need(pool, now(), self.attempts.failed)
            async with self._placer.place(need) as result:
                match result:
                    case Failure(error):
                        failed = self.attempts.may_have_run
                        return self.attempts.final_error() if failed else error
                    case Success(placement):
                        if await self._attempt(placement):
                            return None

    async def _attempt(self, placement: Placement) -> bool:
        """Tries one endpoint; returns whether the answer is written."""
        if not placement.reservation_plans:
            return await self._send(placement, ())
        reservations: ReservationService = self.app.get("reservations")
        try:
            async with reservations.hold(
                self.call.request.id, placement.endpoint, placement.reservation_plans
            ) as tickets:
                return await self._send(placement, tickets)
        except ReservationRefused as refusal:
            self._outcomes.note_no_memory(placement, refusal)
            return False

    async def _send(
        self, placement: Placement, tickets: tuple[Reservation, ...]
    ) -> bool:
        """Sends the request and passes the answer on; returns whether it is written."""
        request = self._request(placement, tickets)
        self._outcomes.note_sent(placement, request)
        self.attempts.note_sent()
        try:
            limit_s = self._silence_limit_s(placement.expected_first_event_s)
            async with self.caller.exchange(
                request, self.call.route.is_idempotent, limit_s
            ) as answer:
                return await self._take(answer, placement)
        except SendFailure as failure:
            self._outcomes.note_failure(placement, failure)
            return False

    async def _take(self, answer: EndpointResponse, placement: Placement) -> bool:
        head = answer.head
        if head.never_ran:
            self._outcomes.note_refusal(answer, placement)
            return False
        if head.status >= _SERVER_ERROR and self._has_alternative():
            self._outcomes.note_error_answer(answer, placement)
            return False
        if self.call.is_stream and head.is_success:
            await self._pass_stream(answer, placement)
        else:
            body = await answer.read_all()
            if self.reply.started:
                self._outcomes.note_error_answer(answer, placement)
                return False
            await self.reply.send_response(head, body)
        self._outcomes.note_end(answer, placement)
        return True

    async def _pass_stream(
        self, answer: EndpointResponse, placement: Placement
    ) -> None:
        """Passes whole events on; a stream that breaks off goes on elsewhere."""
        self._events.drop_rest()
        while True:
            data = await self._read_in_time(answer)
            if not data:
                break
            whole = self._events.feed(data)
            if not whole:
                continue
            self.times.note_events(now())
            self._note_writing(placement)
            if self.reply.started:
                await self.reply.send_events(whole)
            else:
                await self.reply.start_stream(answer.head, whole)
        if self._events.has_rest:
            raise SendFailure("the stream ended within an event", True, "cut_short")
        if not self.reply.started:
            await self.reply.start_stream(answer.head, b"")
        await self.reply.finish_stream()

    async def _read_in_time(self, answer: EndpointResponse) -> bytes:
        limit_s = self._silence_limit_s()
        try:
            async with asyncio.timeout(limit_s):
                return await answer.read_chunk()
        except TimeoutError:
            detail = f"no event in {limit_s:.2f} s"
            raise SendFailure(detail, True, "stream_silent") from None

    @property
    def _placer(self) -> Placer:
        return self.app.get("placement")

    def _request(
        self, placement: Placement, tickets: tuple[Reservation, ...]
    ) -> EndpointRequest:
        ticket_by_id = {item.endpoint.id: item.id for item in tickets}
        organisation = self.call.organisation
        return EndpointRequest(
            caller=self.call.request,
            endpoint=placement.endpoint,
            organisation=organisation.name if organisation else None,
            time_left_s=self.call.deadline - now(),
            helpers=tuple(
                Helper(item.address, ticket_by_id.get(item.id))
                for item in placement.helpers
            ),
            last_event_id=self._events.last_id,
        )

    def _silence_limit_s(self, expected_s: float = 0.0) -> float:
        time_left_s = self.call.deadline - now()
        return self.call.silence_limit_s(
            self._has_alternative(), time_left_s, expected_s
        )

    def _has_alternative(self) -> bool:
        is_repeatable = self.call.route.is_idempotent
        return is_repeatable and self.attempts.sent < self.call.route.max_attempts

    def _may_repeat(self, pool: str) -> bool:
        if not self.attempts.may_repeat():
            return False
        instances = len(self.app.get("membership").members())
        if not self.budget.try_acquire_retry(pool, instances, now()):
            log(
                RETRY_BUDGET_EXHAUSTED,
                request=self.call.request.id,
                pool=pool,
            )
            return False
        self.app.metrics.count(RETRIES, reason=self.attempts.last_reason)
        return True

    def _note_writing(self, placement: Placement) -> None:
        if not placement.assignments[0].is_prefilled:
            for run in placement.assignments:
                run.is_prefilled = True
            self.app.get("load").notify_change(notify_peers=bool(placement.helpers))
