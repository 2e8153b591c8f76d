"""Serves a request of a ``call`` route: one call of a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from cicadacourse.entry._attempts import NOT_SENT, Attempts
from cicadacourse.entry._claim import KeyClaim
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.routing import Grant, Outcome, Work

if TYPE_CHECKING:
    from cicadacourse.application import Application

SHARE_OF_TIME_LEFT = 0.5


class ServiceCall:
    """Runs one request's calls until one is answered or none may follow.

    A call that may not be repeated is sent to an endpoint once at the most: after
    any byte may have left, its outcome without an answer is unknown.
    """

    def __init__(self, app: Application, attempts: Attempts) -> None:
        self.app = app
        self._claim = KeyClaim(app, attempts)
        self._attempts = attempts
        self._request = attempts.request

    async def run(self) -> Result[Any, Error]:
        """Returns the service's result, or why there is none."""
        result = await self._run_attempts()
        self.app.get("entry").run_held(self._claim.record(result))
        return result

    async def _run_attempts(self) -> Result[Any, Error]:
        while True:
            work = self._work(self._attempts.start())
            match await self._attempts.acquire(work):
                case Failure(error):
                    return Failure(error)
                case Success(grant):
                    pass
            answered = await self._claim_first(grant)
            if answered is not None:
                return answered
            result = await self._call(grant, work.attempt)
            if isinstance(result, Success):
                return result
            error = result.failure()
            final = await self._attempts.prepare_another(grant.endpoint, error)
            if final is not None:
                return Failure(final)

    async def _claim_first(self, grant: Grant) -> Result[Any, Error] | None:
        """Claims the key under a grant, so that a key is not used up in vain."""
        answered: Result[Any, Error] | None = Failure(Error(ErrorKind.INTERNAL))
        try:
            answered = await self._claim.take()
        finally:
            if answered is not None:
                self.app.get("routing").release(grant, Outcome.ABANDONED)
        return answered

    def _work(self, attempt: int) -> Work:
        return Work(
            request_id=self._request.request_id,
            attempt=attempt,
            organisation=self._request.organisation,
            pool=self._attempts.pool.name,
            prompt_tokens=self._request.prompt_tokens,
        )

    async def _call(self, grant: Grant, attempt: int) -> Result[Any, Error]:
        outcome = Outcome.ABANDONED
        ran_before = self._attempts.may_have_run
        try:
            self._attempts.note_sent()
            result = await self.app.get("endpoint_client").call(
                grant.endpoint,
                self._request.request_id,
                attempt,
                self._request.organisation,
                self._request.prompt,
                self._call_time_s(),
            )
            outcome = Outcome.COMPLETE
            if isinstance(result, Failure):
                outcome = Outcome.FAILED
                if result.failure().kind in NOT_SENT:
                    outcome = Outcome.REFUSED
                    self._attempts.may_have_run = ran_before
        finally:
            self.app.get("routing").release(grant, outcome)
        if outcome is Outcome.COMPLETE:
            self.app.get("directory").record_success(grant.endpoint.name)
        return result

    def _call_time_s(self) -> float:
        """Returns the time for one call, leaving some for another if it may follow."""
        left_s = self._attempts.time_left_s
        if not self._attempts.repeatable:
            return left_s
        share_s = max(
            self._attempts.pool.progress_timeout_s, left_s * SHARE_OF_TIME_LEFT
        )
        return min(left_s, share_s)
