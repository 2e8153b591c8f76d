"""One attempt at a request: it is placed and sent, and its response is read."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.eligibility import Eligibility
from cicadacourse.errors import Error
from cicadacourse.events import ENDPOINT_SENT_DATA
from cicadacourse.exchange import (
    EndpointClient,
    EndpointResponse,
    SendFailure,
)
from cicadacourse.gateway._admission import (
    ESTIMATE_TIMEOUT_FACTOR,
    AdmittedRequest,
)
from cicadacourse.gateway._answer_room import answer_room
from cicadacourse.gateway._attempt_owner import AttemptOwner
from cicadacourse.gateway._attempts import Progress
from cicadacourse.gateway._endpoint_activity import EndpointActivity
from cicadacourse.gateway._endpoint_request import build_request
from cicadacourse.gateway._events import (
    EventReader,
    StreamMismatch,
    cut_short_failure,
)
from cicadacourse.gateway._outcomes import OutcomeReporter
from cicadacourse.placement import Placement, Placer
from cicadacourse.quarantine import Quarantine
from cicadacourse.reservations import (
    Reservation,
    ReservationRefused,
    ReservationService,
)
from cicadacourse.resources import MemoryAccount
from cicadacourse.util.clock import now

# The head of a response is awaited until the deadline, which cancels the attempt. This
# is added so that a head that is late can't count against its endpoint just before.
HEAD_TIMEOUT_MARGIN_S = 1.0
# Time for connecting and for what the estimate of a hedge's first event omits.
HEDGE_MARGIN_S = 0.3
# The largest share of a pool that new requests avoid as it is silent for other ones.
MAX_AVOIDED_SHARE = 0.4

# Whether the response is written, or the error if nothing was sent.
AttemptResult: TypeAlias = Result[bool, Error]


@attrs.define(eq=False)
class ExchangeAttempt:
    """One attempt at a request, which runs as a task of its own.

    The task owns the placement, the reservations and the exchange, so cancelling it
    also cancels the request at the endpoint.

    :param pool: the name of the pool that serves the request.
    :param owner: decides on the attempt and writes what it reads.
    :param activity: knows which endpoints send data, by the exchanges of all requests.
    :param pause_s: how long it waits before it begins, in seconds.
    :ivar placement: where the request is sent; None until it is placed.
    :ivar progress: how far the attempt got.
    :ivar is_sent: whether the request was sent, or its reservations were refused.
    :ivar has_arrived: whether the endpoint may have received anything of it.
    :ivar has_failed: whether the endpoint gave no usable response.
    :ivar waiting_since: since when it waits for data of its endpoint, loop time in
        seconds; None while it does not wait.
    """

    app: Application
    admitted: AdmittedRequest
    client: EndpointClient
    reporter: OutcomeReporter
    pool: str
    owner: AttemptOwner
    activity: EndpointActivity
    pause_s: float = 0.0
    placement: Placement | None = None
    progress: Progress = Progress.WAITING
    is_sent: bool = False
    has_arrived: bool = False
    has_failed: bool = False
    waiting_since: float | None = None
    _events: EventReader = attrs.field(factory=EventReader)

    @property
    def last_event_id(self) -> str | None:
        """The id of the last whole event that was read, or that it resumes after."""
        return self._events.last_id

    @property
    def endpoint_id(self) -> str | None:
        """The id of its endpoint; None until it is placed."""
        return self.placement.endpoint.id if self.placement else None

    @property
    def silent_s(self) -> float:
        """For how many seconds it has waited for data of its endpoint."""
        return 0.0 if self.waiting_since is None else now() - self.waiting_since

    def silence_limit_at(self, now_s: float) -> float:
        """Returns when another endpoint should be tried if no data come until then.

        :returns: loop time in seconds.
        """
        since = now_s if self.waiting_since is None else self.waiting_since
        is_waiting = self.progress is Progress.WAITING
        expected_s = self._expected_s if is_waiting else 0.0
        time_left_s = self.admitted.deadline - since
        return since + self.admitted.hedging_delay_s(time_left_s, expected_s)

    def hedge_limit_at(self, now_s: float) -> float:
        """Returns when the next hedge should be made if no data come until then.

        It follows a hedge sooner than a first attempt: a hedge has a new connection,
        and its caller has waited for long.

        :returns: loop time in seconds.
        """
        limit_at = self.silence_limit_at(now_s)
        if not self.owner.is_hedge(self):
            return limit_at
        since = now_s if self.waiting_since is None else self.waiting_since
        usual_s = HEDGE_MARGIN_S + ESTIMATE_TIMEOUT_FACTOR * self._expected_s
        return min(limit_at, since + usual_s)

    def late_limit_at(self, now_s: float) -> float:
        """Returns when another endpoint is the last hope if no data come until then.

        :returns: loop time in seconds, no earlier than :meth:`silence_limit_at`.
        """
        since = now_s if self.waiting_since is None else self.waiting_since
        time_left_s = self.admitted.deadline - since
        late_s = self.admitted.late_hedging_delay_s(time_left_s, self._expected_s)
        return max(self.silence_limit_at(now_s), since + late_s)

    @property
    def _expected_s(self) -> float:
        return self.placement.expected_first_event_s if self.placement else 0.0

    async def run(self) -> AttemptResult:
        """Makes the attempt."""
        if self.pause_s:
            await asyncio.sleep(self.pause_s)
        time_left_s = self.admitted.deadline - now()
        refusal = await self._quarantine.find_refusal(self.admitted.keys, time_left_s)
        if refusal is not None:
            return Failure(refusal)
        error = self.owner.acquire(self)
        if error is not None:
            return Failure(error)
        request = self.admitted.placement_request(
            self.pool,
            now(),
            self._avoided_ids(),
            self.owner.last_event_at,
            has_begun=self.owner.is_hedge(self) or self.owner.has_begun(),
            may_risk_refusal=not self._eligibility.declines.are_any_in_need
            or self.owner.may_risk_refusal(),
        )
        async with self._placer.place(request) as result:
            match result:
                case Success(placement):
                    return await self._make(placement)
                case Failure(error):
                    return Failure(error)
        raise AssertionError("a result is a success or a failure")

    def _avoided_ids(self) -> frozenset[str]:
        """Returns the ids of endpoints that are used only if there are no others.

        These include those that are silent for other requests, if they are few: a
        silent exchange may be due to its connection, and the rest must not get all
        requests. A hedge avoids them unless all are silent.
        """
        ids = self.reporter.attempts.failed_ids | self.owner.used_ids(self)
        silent_ids = self.activity.silent_ids(now())
        return ids | silent_ids if self._may_avoid(silent_ids, ids) else ids

    def _may_avoid(self, silent_ids: frozenset[str], other_ids: frozenset[str]) -> bool:
        """Returns whether enough endpoints are left without the silent ones.

        :param other_ids: ids of endpoints that are avoided in any case.
        """
        if not silent_ids:
            return False
        usable = self._placer.usable_endpoints(self.pool, self.admitted.regions)
        usable_ids = {item.id for item in usable}
        if self.owner.is_hedge(self):
            return bool(usable_ids - other_ids - silent_ids)
        return len(usable_ids & silent_ids) <= MAX_AVOIDED_SHARE * len(usable_ids)

    async def _make(self, placement: Placement) -> AttemptResult:
        self.placement = placement
        error = self.owner.confirm(self)
        if error is not None:
            self.placement = None
            return Failure(error)
        if not placement.reservation_plans:
            return Success(await self._send(placement, ()))
        service: ReservationService = self.app.get("reservations")
        try:
            async with service.hold(
                self.admitted.request.id,
                placement.endpoint,
                placement.reservation_plans,
                lambda: self.silent_s,
                placement.expected_first_event_s,
            ) as reservations:
                return Success(await self._send(placement, reservations))
        except ReservationRefused as refusal:
            self.is_sent = self.has_arrived = True
            self.has_failed = True
            self.reporter.report_reservation_refused(placement, refusal)
            return Success(False)
        except SendFailure as failure:
            await self._record_failure(placement, failure)
            return Success(False)

    async def _send(
        self, placement: Placement, reservations: tuple[Reservation, ...]
    ) -> bool:
        """Sends the request, forwards the response; returns whether that is written."""
        self._events.resume_after(self.owner.last_event_id)
        request = build_request(
            self.admitted,
            placement,
            reservations,
            self._events.last_id,
            self.owner.is_hedge(self),
        )
        self.reporter.report_sent(placement, request)
        self.reporter.attempts.record_sent()
        self.is_sent = self.has_arrived = True
        sent_at = self.waiting_since = now()
        self.activity.add(self)
        try:
            async with self.client.exchange(
                request,
                self.admitted.route.is_idempotent,
                request.time_left_s + HEAD_TIMEOUT_MARGIN_S,
                self.admitted.regions,
            ) as response:
                self.app.get("limits").observe(
                    placement.endpoint, response.head, sent_at
                )
                self._eligibility.declines.observe(placement.endpoint, response.head)
                is_written = await self._handle_response(response, placement)
                self.has_failed = not is_written
                return is_written
        except SendFailure as failure:
            await self._record_failure(placement, failure)
            return False
        finally:
            self.activity.remove(self)

    async def _record_failure(self, placement: Placement, failure: SendFailure) -> None:
        self.has_failed = True
        silent_s = self.silent_s
        self.waiting_since = None
        if failure.is_withdrawn:
            self.is_sent = False
        self.has_arrived = failure.may_have_run
        self.reporter.report_transport_failure(
            placement, failure, self.progress, silent_s
        )
        await self._record_crash(placement, failure)

    async def _handle_response(
        self, response: EndpointResponse, placement: Placement
    ) -> bool:
        head = response.head
        if head.never_ran:
            self.reporter.report_refusal(response, placement)
            return False
        if head.is_server_error and self.owner.has_alternative(self):
            self.reporter.report_error_response(response, placement)
            return False
        if self.admitted.is_stream and head.is_success:
            await self._forward_stream(response, placement)
        elif not await self._forward_body(response):
            # The caller already receives a stream; no other response can follow.
            self.reporter.report_error_response(response, placement)
            return False
        self.reporter.report_forwarded(response, placement)
        self._quarantine.record_response(self.admitted.keys, head)
        return True

    async def _forward_body(self, response: EndpointResponse) -> bool:
        """Forwards a whole body; returns False if the caller already has a stream."""
        account: MemoryAccount = self.app.get("resources").account
        deadline = self.admitted.deadline
        with answer_room(
            account, response.length, deadline, self._pause_wait
        ) as make_room:
            body = await response.read_all(self._restart_wait, make_room)
            self.waiting_since = None
            if not self.owner.may_write_response():
                return False
            await self.owner.write_response(self, response.head, body)
            return True

    async def _forward_stream(
        self, response: EndpointResponse, placement: Placement
    ) -> None:
        """Forwards complete events, starting after the last one of a former attempt.

        :raises SendFailure: if the stream breaks off, or ends before its first event or
            within an event; a further attempt may then resume it at another endpoint.
        """
        self.progress = Progress.BEGUN
        while events := await self._events.read(response, self._restart_wait):
            self.waiting_since = None
            if self.progress is not Progress.STREAMING:
                self._check_continues(response)
                self._quarantine.record_first_event(self.admitted.keys)
            self.progress = Progress.STREAMING
            self._mark_prefilled(placement)
            await self.owner.write_events(self, response.head, events)
        self.waiting_since = None
        if self.progress is not Progress.STREAMING and not self._may_be_empty():
            raise cut_short_failure()
        await self.owner.finish_stream(self, response.head)

    def _may_be_empty(self) -> bool:
        """Returns whether a stream without an event may be complete.

        It may be if the caller has resumed it. If this instance has, it must not: the
        caller would take a stream for complete that has broken off.
        """
        return self._events.last_id is not None and self.owner.may_write_response()

    def _check_continues(self, response: EndpointResponse) -> None:
        """Checks that the first event may follow what the caller has received.

        :raises SendFailure: if it may not; a further attempt may resume the stream.
        """
        try:
            self.owner.check_continues(response.head, self._events.first_id)
        except StreamMismatch as error:
            raise SendFailure(str(error), True, "stream_mismatch") from error

    def _pause_wait(self) -> None:
        """Records that it does not wait for data of its endpoint now."""
        self.waiting_since = None

    def _restart_wait(self) -> None:
        """Records that data came and that the wait for more of them begins."""
        self.waiting_since = now()
        if self.placement is not None:
            endpoint = self.placement.endpoint
            self.activity.record_data(endpoint.pool, endpoint.id, now())
            self.app.events.emit(ENDPOINT_SENT_DATA, endpoint.id)

    async def _record_crash(self, placement: Placement, failure: SendFailure) -> None:
        """Blames the request if the endpoint has crashed before its first event."""
        if not failure.is_broken_off or self.progress is Progress.STREAMING:
            return
        has_begun = self.progress is Progress.BEGUN
        await self._quarantine.check_crash(
            self.client, placement.endpoint, self.admitted.keys, has_begun
        )

    @property
    def _quarantine(self) -> Quarantine:
        return self.app.get("quarantine")

    @property
    def _eligibility(self) -> Eligibility:
        return self.app.get("eligibility")

    @property
    def _placer(self) -> Placer:
        return self.app.get("placement")

    def _mark_prefilled(self, placement: Placement) -> None:
        if not placement.assignments[0].is_prefilled:
            for assignment in placement.assignments:
                assignment.is_prefilled = True
            self.app.get("load").notify_change(notify_peers=bool(placement.helpers))
