"""The attempts of one request: what was sent, and whether to try again."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs
from returns.result import Result

from cicadacourse.endpoints import REASON_LEAVING, Endpoint
from cicadacourse.entry._budget import RetryBudget
from cicadacourse.entry._request import CallerRequest
from cicadacourse.entry._settings import ATTEMPTS, RETRIES_DENIED, EntrySettings
from cicadacourse.errors import Error, ErrorKind, Run
from cicadacourse.metrics import RETRIES
from cicadacourse.routing import Grant, Work
from cicadacourse.tables import KIND_CALL, Pool, Route
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.application import Application

NOT_SENT = frozenset({ErrorKind.ENDPOINT_UNREACHABLE, ErrorKind.ENDPOINT_REFUSED})
WORTH_RETRYING = NOT_SENT | {
    ErrorKind.ENDPOINT_FAILED,
    ErrorKind.STREAM_LOST,
    ErrorKind.PEER_UNREACHABLE,
}
MAX_ATTEMPTS = 8


@attrs.define
class Attempts:
    """Counts a request's attempts and decides on each further one.

    :param deadline: when the request must have ended, on the loop's clock.
    :param may_have_run: whether any attempt may have reached an endpoint.
    """

    app: Application
    request: CallerRequest
    route: Route
    pool: Pool
    deadline: float
    budget: RetryBudget
    rng: random.Random
    number: int = 0
    may_have_run: bool = False
    excluded: set[str] = attrs.Factory(set)

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        if self.request.repeatable is not None:
            return self.request.repeatable
        return self.route.kind != KIND_CALL

    @property
    def time_left_s(self) -> float:
        """Seconds to the deadline, 0 if it has passed."""
        return max(self.deadline - now(), 0.0)

    def start(self) -> int:
        """Starts the next attempt and returns its number, from 1."""
        if self.number == 0:
            self.budget.note_first_attempt()
        self.number += 1
        return self.number

    def note_sent(self) -> None:
        """Notes that bytes may leave for an endpoint now."""
        self.may_have_run = True
        self.app.metrics.count(ATTEMPTS, pool=self.pool.name)

    async def acquire(self, work: Work) -> Result[Grant, Error]:
        """Returns a grant off the endpoints that failed, or the final error."""
        acquired = await self.app.get("routing").acquire(
            work, self.deadline, frozenset(self.excluded)
        )
        return acquired.alt(self.final)

    async def prepare_another(self, endpoint: Endpoint, error: Error) -> Error | None:
        """Backs off before another attempt, or returns the final error at once."""
        self.note_failure(endpoint, error)
        if not self.may_repeat(error):
            return self.final(error)
        await self.back_off()
        return None

    def note_failure(self, endpoint: Endpoint, error: Error) -> None:
        """Keeps this request off an endpoint and tells the directory."""
        self.excluded.add(endpoint.name)
        directory = self.app.get("directory")
        if error.kind is not ErrorKind.ENDPOINT_REFUSED:
            directory.record_failure(endpoint.name, error.label)
        elif error.label == REASON_LEAVING:
            directory.record_failure(endpoint.name, REASON_LEAVING)

    def may_repeat(self, error: Error) -> bool:
        """Whether the request may be tried once more after an error."""
        reason = self._reason_not_to_repeat(error)
        if reason:
            self.app.metrics.count(RETRIES_DENIED, reason=reason)
            return False
        self.app.metrics.count(RETRIES, reason=error.label)
        return True

    async def back_off(self) -> None:
        """Sleeps for a random time that grows with the attempts."""
        settings = self.app.settings.get(EntrySettings)
        longest_s = settings.backoff_base_s * 2 ** (self.number - 1)
        await asyncio.sleep(self.rng.uniform(0, min(longest_s, settings.backoff_max_s)))

    def final(self, error: Error) -> Error:
        """Returns the error with the truth about whether the request has run."""
        if not self.may_have_run:
            return attrs.evolve(error, run=Run.NOT_RUN)
        if self.route.kind == KIND_CALL:
            return _unknown(error, self.repeatable)
        return attrs.evolve(error, run=Run.FAILED)

    def timed_out(self) -> Error:
        """Returns the error of a request whose time limit has passed."""
        detail = f"time limit of {self.request.time_limit_s:g} s has passed"
        return self.final(Error(ErrorKind.TIMED_OUT, detail))

    def _reason_not_to_repeat(self, error: Error) -> str:
        if error.kind not in WORTH_RETRYING:
            return "kind"
        if self.may_have_run and not self.repeatable:
            return "not_repeatable"
        if self.number >= MAX_ATTEMPTS:
            return "attempts"
        # What was never sent adds no load, so only the rest draws on the budget.
        unsent = error.kind is ErrorKind.ENDPOINT_UNREACHABLE
        if not unsent and not self.budget.take():
            return "budget"
        return ""


def _unknown(error: Error, repeatable: bool) -> Error:
    """Returns the error of a call that may have run."""
    if repeatable:
        return attrs.evolve(error, run=Run.UNKNOWN)
    return Error(ErrorKind.OUTCOME_UNKNOWN, error.detail, error.label, run=Run.UNKNOWN)
