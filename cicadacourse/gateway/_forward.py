"""Forwards one request to endpoints until one has responded completely.

An endpoint that is silent may go on, or stay silent for good. So its exchange is kept
while a second endpoint is tried, and the first of them to send data is the source.
"""

from __future__ import annotations

import asyncio

import attrs
from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import EndpointClient, Reply, ResponseHead
from cicadacourse.gateway._admission import AdmittedRequest
from cicadacourse.gateway._attempt import Attempt
from cicadacourse.gateway._attempt_owner import AttemptOwner
from cicadacourse.gateway._attempts import Attempts
from cicadacourse.gateway._endpoint_activity import EndpointActivity
from cicadacourse.gateway._events import StreamMismatch, check_follows
from cicadacourse.gateway._exchange_attempt import AttemptResult, ExchangeAttempt
from cicadacourse.gateway._hedging import MIN_TIME_LEFT_S, TIMER_SLACK_S, HedgeTimer
from cicadacourse.gateway._outcomes import OutcomeReporter
from cicadacourse.gateway._retries import RetryGrants
from cicadacourse.gateway._times import StreamTimes
from cicadacourse.placement import Placer, RetryBudget
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("forward")

REASON_RESERVED = "hedges_reserved"

_WRITTEN: AttemptResult = Success(True)
_NOT_WRITTEN: AttemptResult = Success(False)


def _no_other_endpoint(pool: str) -> Error:
    """Returns the error of a hedge for which only the silent endpoints are left."""
    detail = f"pool {pool} has no other endpoint"
    return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=1.0)


def _hedge_reserved(pool: str) -> Error:
    """Returns the error of a hedge that comes too early for what is left of them."""
    detail = f"the rest of the budget of pool {pool} is kept for longer silences"
    return Error(ErrorKind.OVERLOADED, detail, reason=REASON_RESERVED)


@attrs.define
class Forwarder(AttemptOwner):
    """Forwards one request, with retries; each request has its own forwarder.

    :param app: the application.
    :param admitted: the request with its route, organisation and deadline.
    :param reply: the response to the caller.
    :param attempts: counts the attempts made so far.
    :param client: sends requests to endpoints.
    :param budget: bounds retries.
    :param activity: knows which endpoints send data, by the exchanges of all requests.
    :ivar times: the times of the forwarded events of a stream.
    :ivar last_event_id: the id of the last event that was forwarded, or None.
    """

    app: Application
    admitted: AdmittedRequest
    reply: Reply
    attempts: Attempts
    client: EndpointClient
    budget: RetryBudget
    activity: EndpointActivity
    times: StreamTimes = attrs.field(factory=StreamTimes)
    last_event_id: str | None = None
    _stream_head: ResponseHead | None = None
    _pool: str = ""
    _task_by_attempt: dict[ExchangeAttempt, asyncio.Task[AttemptResult]] = attrs.field(
        factory=dict
    )
    _cancelled: list[asyncio.Task[AttemptResult]] = attrs.field(factory=list)
    _timer: HedgeTimer = attrs.field(factory=HedgeTimer)
    _grants: RetryGrants = attrs.field(init=False)
    _reporter: OutcomeReporter = attrs.field(init=False)

    @_grants.default
    def _make_grants(self) -> RetryGrants:
        return RetryGrants(self.app, self.admitted, self.attempts, self.budget)

    @_reporter.default
    def _make_reporter(self) -> OutcomeReporter:
        return OutcomeReporter(self.app, self.admitted, self.attempts)

    async def run(self) -> Error | None:
        """Returns None once the response is written, else the error to respond with."""
        pool = self.admitted.choose_pool()
        if pool is None:
            detail = f"route {self.admitted.route.name} has no pool"
            return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=1.0)
        self._pool = pool
        self.last_event_id = self.admitted.request.last_event_id
        self.budget.record_first_attempt(pool, now())
        try:
            self._start_attempt()
            return await self._await_response()
        except asyncio.CancelledError:
            self._report_silent_attempts()
            self._cancel(list(self._task_by_attempt))
            raise
        finally:
            await self._end_attempts()

    def _report_silent_attempts(self) -> None:
        """Reports endpoints that were silent to the end while others sent data."""
        for attempt in self._task_by_attempt:
            is_overdue = now() >= attempt.silence_limit_at(now())
            ids = frozenset({attempt.endpoint_id or ""})
            if is_overdue and self.activity.has_recent_data(self._pool, ids, now()):
                self._reporter.report_silent(attempt)

    async def _await_response(self) -> Error | None:
        """Starts further attempts until one has written the response or none may."""
        while True:
            for attempt in await self._wait():
                task = self._task_by_attempt.pop(attempt)
                self._grants.settle(attempt)
                result = self._result_of(task)
                if result == _WRITTEN:
                    return None
                error = self._go_on(result)
                if error is not None:
                    return error

    def _result_of(self, task: asyncio.Task[AttemptResult]) -> AttemptResult:
        """Returns the result of an attempt that has ended.

        An unexpected error ends the request only if no other attempt is in progress.
        """
        error = task.exception()
        if error is None or not self._task_by_attempt:
            return task.result()
        self._log_error(error)
        return _NOT_WRITTEN

    def _go_on(self, result: AttemptResult) -> Error | None:
        """Goes on after an attempt without a response; returns the error if it can't.

        The attempts that are still in progress go on in any case, and the next hedge
        beside them is deferred.
        """
        if self._task_by_attempt:
            self._timer.defer(now())
            if isinstance(result, Failure):
                self._reporter.report_hedge_denied(result.failure())
            return None
        if isinstance(result, Failure):
            may_have_run = self.attempts.may_have_run
            return self.attempts.final_error() if may_have_run else result.failure()
        if not self._may_continue():
            return self.attempts.final_error()
        self._start_attempt(self.attempts.pause_s() if self.has_begun() else 0.0)
        return None

    async def _wait(self) -> list[ExchangeAttempt]:
        """Returns the attempts that have ended; hedges those that are silent."""
        hedge_at = self._hedge_at()
        if hedge_at is not None and hedge_at <= now():
            self._start_or_defer_hedge()
            hedge_at = self._hedge_at()
        timeout_s = None
        if hedge_at is not None:
            timeout_s = max(0.0, hedge_at - now()) + TIMER_SLACK_S
        tasks = self._task_by_attempt.values()
        await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if hedge_at is not None:
            self._timer.check_pause(hedge_at, now())
        ended = [item for item, task in self._task_by_attempt.items() if task.done()]
        # An attempt that was not sent is no reason to end the request if another one
        # has failed at the same time, so that a retry is due.
        return sorted(ended, key=lambda item: item.has_failed)

    def _start_attempt(self, pause_s: float = 0.0) -> None:
        attempt = ExchangeAttempt(
            self.app,
            self.admitted,
            self.client,
            self._reporter,
            self._pool,
            self,
            self.activity,
            pause_s=pause_s,
        )
        self._task_by_attempt[attempt] = asyncio.create_task(attempt.run())

    def _hedge_at(self) -> float | None:
        """Returns when the attempts in progress have been silent for too long.

        :returns: loop time in seconds, or None if no further attempt is allowed.
        """
        if not self.admitted.route.is_idempotent or not self._may_continue():
            return None
        limits = [item.hedge_limit_at(now()) for item in self._task_by_attempt]
        hedge_at = max(self._timer.not_before, *limits)
        latest_at = self.admitted.deadline - MIN_TIME_LEFT_S
        return hedge_at if hedge_at < latest_at else None

    def _start_or_defer_hedge(self) -> None:
        """Starts a hedge, or defers it until the silence is surely no short one."""
        late_at = next(iter(self._task_by_attempt)).late_limit_at(now())
        if now() >= late_at or self._may_hedge_early():
            self._start_hedge()
            return
        self._timer.not_before = late_at
        self._reporter.report_hedge_denied(_hedge_reserved(self._pool))

    def _may_hedge_early(self) -> bool:
        """Returns whether a hedge may be made for a silence that may be a short one.

        Another endpoint is likely to be better if one sends data; else a few hedges
        find out.
        """
        ids = frozenset(item.endpoint_id or "" for item in self._task_by_attempt)
        if self.activity.has_recent_data(self._pool, ids, now()):
            return self._grants.has_spare_retries(self._pool)
        return self.budget.try_acquire_early_hedge(self._pool, now())

    def _start_hedge(self) -> None:
        self._reporter.report_hedged(self._pool, list(self._task_by_attempt))
        self._start_attempt()

    def _may_continue(self) -> bool:
        """Returns whether another attempt could go on where the response is now.

        A stream whose events have no ids can't be resumed.
        """
        is_resumable = not self.reply.started or self.last_event_id is not None
        return is_resumable and self.attempts.may_retry()

    def acquire(self, attempt: Attempt) -> Error | None:
        """Takes a retry from the budget unless the attempt is the first one."""
        if self.is_hedge(attempt) and not self._has_other_endpoint(attempt):
            return _no_other_endpoint(self._pool)
        return self._grants.acquire(attempt)

    def confirm(self, attempt: Attempt) -> Error | None:
        """Refuses an attempt at an endpoint at which another one is in progress.

        Further attempts are made in the pool of this one.
        """
        if attempt.endpoint_id in self.used_ids(attempt):
            return _no_other_endpoint(self._pool)
        if attempt.placement is not None:
            # The request may have moved to another pool, where it stays.
            self._pool = attempt.placement.endpoint.pool
        return None

    def used_ids(self, attempt: Attempt) -> frozenset[str]:
        """Returns the ids of the endpoints of the other attempts in progress."""
        ids = (item.endpoint_id for item in self._others(attempt))
        return frozenset(id for id in ids if id is not None)

    def has_alternative(self, attempt: Attempt) -> bool:
        """Returns whether another attempt is in progress or may be retried."""
        if any(not item.has_failed for item in self._others(attempt)):
            return True
        route = self.admitted.route
        return route.is_idempotent and self.attempts.sent < route.max_attempts

    def may_risk_refusal(self) -> bool:
        """Returns whether another endpoint would be tried after a refusal.

        A request that was refused before has used up its share of the tries.
        """
        is_first = not self.attempts.refused
        return is_first and self._grants.has_spare_retries(self._pool)

    @property
    def last_event_at(self) -> float | None:
        """When the last event was forwarded, loop time in seconds, or None."""
        return self.times.last_at_s

    def has_begun(self) -> bool:
        """Returns whether a failed attempt may have run or events were written."""
        return self.attempts.may_have_run or self.reply.started

    def may_write_response(self) -> bool:
        """Returns whether nothing has been written to the caller yet."""
        return not self.reply.started

    def check_continues(self, head: ResponseHead, first_event_id: str | None) -> None:
        """Checks that a response may go on with the stream that has been written.

        It must be of the same kind as the one that began, and its first event must
        follow the last one; see :func:`check_follows`.
        """
        began = self._stream_head
        if not self.reply.started or began is None:
            return
        if (head.status, head.media_type) != (began.status, began.media_type):
            detail = f"status {head.status} with the type {head.media_type!r:.40}"
            raise StreamMismatch(detail)
        check_follows(first_event_id, self.last_event_id)

    async def write_events(
        self, attempt: Attempt, head: ResponseHead, events: bytes
    ) -> None:
        """Writes whole events to the caller; waits while it reads too slowly."""
        await self._choose(attempt)
        self.last_event_id = attempt.last_event_id
        self.times.record_events(now())
        if self.reply.started:
            await self.reply.send_events(events)
        else:
            self._stream_head = head
            await self.reply.start_stream(head, events)

    async def finish_stream(self, attempt: Attempt, head: ResponseHead) -> None:
        """Ends the stream as complete."""
        await self._choose(attempt)
        if not self.reply.started:
            await self.reply.start_stream(head, b"")
        await self.reply.finish_stream()

    async def write_response(
        self, attempt: Attempt, head: ResponseHead, body: bytes
    ) -> None:
        """Writes a whole response to the caller."""
        await self._choose(attempt)
        await self.reply.send_response(head, body)

    async def _choose(self, attempt: Attempt) -> None:
        """Makes an attempt the source of the response and cancels the others."""
        if len(self._task_by_attempt) == 1:
            return
        if self.is_hedge(attempt):
            # An older attempt whose data came at the same time is chosen meanwhile.
            await asyncio.sleep(0)
        others = [item for item in self._others(attempt) if not item.has_failed]
        for other in others:
            self._reporter.report_superseded(other, attempt)
        self._cancel(others)

    def is_hedge(self, attempt: Attempt) -> bool:
        """Returns whether an attempt is made beside an older one in progress."""
        return attempt is not next(iter(self._task_by_attempt))

    def _others(self, attempt: Attempt) -> list[ExchangeAttempt]:
        return [item for item in self._task_by_attempt if item is not attempt]

    def _has_other_endpoint(self, attempt: Attempt) -> bool:
        placer: Placer = self.app.get("placement")
        used = self.used_ids(attempt)
        usable = placer.usable_endpoints(self._pool, self.admitted.regions)
        return any(item.id not in used for item in usable)

    def _cancel(self, attempts: list[ExchangeAttempt]) -> None:
        for attempt in attempts:
            task = self._task_by_attempt.pop(attempt)
            task.cancel()
            self._cancelled.append(task)
            self._grants.settle(attempt)

    async def _end_attempts(self) -> None:
        """Cancels what is in progress and waits until it is cleaned up.

        Attempts that have failed still find out whether their endpoints have crashed.
        """
        self._cancel([item for item in self._task_by_attempt if not item.has_failed])
        tasks = [*self._task_by_attempt.values(), *self._cancelled]
        for error in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(error, Exception):
                self._log_error(error)

    def _log_error(self, error: BaseException) -> None:
        logger.error(
            "attempt of request {} failed: {!r}", self.admitted.request.id, error
        )
