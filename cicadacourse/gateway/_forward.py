"""Forwards one request to endpoints until one has responded completely."""

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
from cicadacourse.gateway._admission import AdmittedRequest, suspected_error
from cicadacourse.gateway._attempts import Attempts, Progress
from cicadacourse.gateway._events import EventSplitter, EventTooLarge
from cicadacourse.gateway._outcomes import OutcomeReporter
from cicadacourse.gateway._times import StreamTimes
from cicadacourse.limits import EndpointLimits
from cicadacourse.logs import RETRY_BUDGET_EXHAUSTED, log
from cicadacourse.metrics import RETRIES
from cicadacourse.placement import Placement, Placer, RetryBudget
from cicadacourse.quarantine import Quarantine
from cicadacourse.reservations import (
    Reservation,
    ReservationRefused,
    ReservationService,
)
from cicadacourse.util.clock import now


@attrs.define
class Forwarder:
    """Forwards one request, with retries; each request has its own forwarder.

    :param app: the application.
    :param admitted: the request with its route, organisation and deadline.
    :param reply: the response to the caller.
    :param attempts: counts the attempts made so far.
    :param client: sends requests to endpoints.
    :param budget: bounds retries.
    :param times: the times of the forwarded events of a stream.
    """

    app: Application
    admitted: AdmittedRequest
    reply: Reply
    attempts: Attempts
    client: EndpointClient
    budget: RetryBudget
    times: StreamTimes = attrs.field(factory=StreamTimes)
    _events: EventSplitter = attrs.field(factory=EventSplitter)
    _progress: Progress = Progress.WAITING
    _reporter: OutcomeReporter = attrs.field(init=False)

    @_reporter.default
    def _make_reporter(self) -> OutcomeReporter:
        return OutcomeReporter(self.app, self.admitted, self.attempts)

    async def run(self) -> Error | None:
        """Returns None once the response is written, else the error to respond with."""
        pool = self.admitted.choose_pool()
        if pool is None:
            detail = f"route {self.admitted.route.name} has no pool"
            return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=1.0)
        self._events.last_id = self.admitted.request.last_event_id
        self.budget.record_first_attempt(pool, now())
        paid = 0
        while True:
            delay_s = await self._quarantine.delay_s(self._shared_parts)
            if delay_s:
                may_have_run = self.attempts.may_have_run
                error = suspected_error(delay_s)
                return self.attempts.final_error() if may_have_run else error
            if self.attempts.made > paid and not self._acquire_retry(pool):
                return self.attempts.final_error()
            paid = self.attempts.made
            request = self.admitted.placement_request(
                pool, now(), self.attempts.failed_ids
            )
            async with self._placer.place(request) as result:
                match result:
                    case Failure(error):
                        may_have_run = self.attempts.may_have_run
                        return self.attempts.final_error() if may_have_run else error
                    case Success(placement):
                        if await self._attempt(placement):
                            return None

    async def _attempt(self, placement: Placement) -> bool:
        """Makes one attempt; returns whether the response is written."""
        if not placement.reservation_plans:
            return await self._send(placement, ())
        service: ReservationService = self.app.get("reservations")
        try:
            async with service.hold(
                self.admitted.request.id,
                placement.endpoint,
                placement.reservation_plans,
            ) as reservations:
                return await self._send(placement, reservations)
        except ReservationRefused as refusal:
            self._reporter.report_reservation_refused(placement, refusal)
            return False

    async def _send(
        self, placement: Placement, reservations: tuple[Reservation, ...]
    ) -> bool:
        """Sends the request, forwards the response; returns whether that is written."""
        request = self._build_request(placement, reservations)
        self._reporter.report_sent(placement, request)
        self.attempts.record_sent()
        self._progress = Progress.WAITING
        try:
            sent_at = now()
            timeout_s = self._read_timeout_s(placement.expected_first_event_s)
            async with self.client.exchange(
                request, self.admitted.route.is_idempotent, timeout_s
            ) as response:
                return await self._handle_response(response, placement, sent_at)
        except SendFailure as failure:
            self._reporter.report_transport_failure(placement, failure, self._progress)
            await self._record_crash(placement, failure)
            return False

    async def _handle_response(
        self, response: EndpointResponse, placement: Placement, sent_at: float
    ) -> bool:
        head = response.head
        self._limits.observe(placement.endpoint, head, sent_at)
        self._placer.declines.observe(placement.endpoint, head)
        if head.never_ran:
            self._reporter.report_refusal(response, placement)
            return False
        if head.is_server_error and self._has_alternative():
            self._reporter.report_error_response(response, placement)
            return False
        if self.admitted.is_stream and head.is_success:
            await self._forward_stream(response, placement)
        else:
            body = await response.read_all()
            if self.reply.started:
                # The caller already receives a stream; no other response can follow.
                self._reporter.report_error_response(response, placement)
                return False
            await self.reply.send_response(head, body)
        self._reporter.report_forwarded(response, placement)
        if head.is_success:
            self._quarantine.record_success(self._shared_parts)
        return True

    async def _forward_stream(
        self, response: EndpointResponse, placement: Placement
    ) -> None:
        """Forwards complete events, starting after the last one of a former attempt.

        :raises SendFailure: if the stream breaks off, ends before its first event or
            within an event, or is idle for too long; a further attempt may then resume
            it at another endpoint.
        """
        self._events.discard_partial()
        self._progress = Progress.BEGUN
        while True:
            data = await self._read_chunk(response)
            if not data:
                break
            events = self._split_events(data)
            if not events:
                continue
            self._progress = Progress.STREAMING
            self.times.record_events(now())
            self._mark_prefilled(placement)
            if self.reply.started:
                await self.reply.send_events(events)
            else:
                await self.reply.start_stream(response.head, events)
        is_resumed = self._events.last_id is not None
        if self._events.has_partial or not (self.reply.started or is_resumed):
            detail = "the stream ended before its first event or within an event"
            raise SendFailure(detail, True, "cut_short", is_broken_off=True)
        if not self.reply.started:
            await self.reply.start_stream(response.head, b"")
        await self.reply.finish_stream()

    def _split_events(self, data: bytes) -> bytes:
        """Returns the events that bytes of a stream complete, possibly none.

        :raises SendFailure: if an event is too large.
        """
        try:
            return self._events.feed(data)
        except EventTooLarge as error:
            raise SendFailure(str(error), True, "event_too_large") from error

    async def _read_chunk(self, response: EndpointResponse) -> bytes:
        """Returns the next bytes of a stream, or none at its end.

        :raises SendFailure: if the stream breaks off or is idle for too long.
        """
        timeout_s = self._read_timeout_s()
        try:
            async with asyncio.timeout(timeout_s):
                return await response.read_chunk()
        except TimeoutError:
            detail = f"no event in {timeout_s:.2f} s"
            raise SendFailure(detail, True, "stream_silent") from None

    async def _record_crash(self, placement: Placement, failure: SendFailure) -> None:
        """Blames the prompt if the endpoint has crashed before its first event."""
        if not failure.is_broken_off or self._progress is Progress.STREAMING:
            return
        if not self._shared_parts:
            return
        if await self.client.is_process_gone(placement.endpoint):
            has_begun = self._progress is Progress.BEGUN
            self._quarantine.record_crash(
                placement.endpoint, self._shared_parts, has_begun
            )

    @property
    def _shared_parts(self) -> tuple[str, ...]:
        prompt = self.admitted.prompt
        return prompt.shared_part_ids if prompt else ()

    @property
    def _quarantine(self) -> Quarantine:
        return self.app.get("quarantine")

    @property
    def _placer(self) -> Placer:
        return self.app.get("placement")

    @property
    def _limits(self) -> EndpointLimits:
        return self.app.get("limits")

    def _build_request(
        self, placement: Placement, reservations: tuple[Reservation, ...]
    ) -> EndpointRequest:
        reservation_id_by_endpoint = {
            item.endpoint.id: item.id for item in reservations
        }
        organisation = self.admitted.organisation
        return EndpointRequest(
            caller=self.admitted.request,
            endpoint=placement.endpoint,
            organisation=organisation.name if organisation else None,
            time_left_s=self.admitted.deadline - now(),
            helpers=tuple(
                Helper(item.address, reservation_id_by_endpoint.get(item.id))
                for item in placement.helpers
            ),
            last_event_id=self._events.last_id,
        )

    def _read_timeout_s(self, expected_s: float = 0.0) -> float:
        time_left_s = self.admitted.deadline - now()
        return self.admitted.read_timeout_s(
            self._has_alternative(), time_left_s, expected_s
        )

    def _has_alternative(self) -> bool:
        is_retryable = self.admitted.route.is_idempotent
        return is_retryable and self.attempts.sent < self.admitted.route.max_attempts

    def _acquire_retry(self, pool: str) -> bool:
        if not self.attempts.may_retry():
            return False
        instances = len(self.app.get("membership").members())
        if not self.budget.try_acquire_retry(pool, instances, now()):
            log(
                RETRY_BUDGET_EXHAUSTED,
                request=self.admitted.request.id,
                pool=pool,
            )
            return False
        self.app.metrics.count(RETRIES, reason=self.attempts.last_reason)
        return True

    def _mark_prefilled(self, placement: Placement) -> None:
        if not placement.assignments[0].is_prefilled:
            for assignment in placement.assignments:
                assignment.is_prefilled = True
            self.app.get("load").notify_change(notify_peers=bool(placement.helpers))
