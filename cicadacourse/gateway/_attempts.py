"""Counts the attempts of one request and decides whether another is allowed."""

from __future__ import annotations

import enum

import attrs

from cicadacourse.catalog import Route
from cicadacourse.errors import Error, ErrorKind

# Shorter than an endpoint stays ejected: other endpoints may be able to serve at once.
RETRY_AFTER_REFUSED_S = 0.3
RETRY_AFTER_UNREACHABLE_S = 0.3
# A request is retried after up to this many refusals. They don't count as attempts, so
# the route's maximum number of attempts doesn't bound them.
MAX_REFUSALS = 4
# A request that has begun pauses before a retry once it was refused this often, as no
# endpoint may accept it for a moment. The pause doubles with each further refusal.
REFUSALS_BEFORE_PAUSE = 2
FIRST_PAUSE_S = 0.2


class Progress(enum.Enum):
    """How far an attempt got: no response, no event of it yet, or some events."""

    WAITING = "waiting"
    BEGUN = "begun"
    STREAMING = "streaming"


@attrs.define
class Attempts:
    """Counts the attempts of one request and keeps how the last one failed.

    :param route: sets the maximum number of attempts and whether the request is
        idempotent.
    :ivar sent: attempts that were sent and may have run the request.
    :ivar refused: attempts that certainly did not run the request.
    :ivar may_have_run: whether any attempt may have run the request.
    :ivar failed_ids: ids of the endpoints that gave no usable response.
    :ivar last_reason: the label of the last failure in logs and metrics.
    :ivar last_detail: a description of the last failure.
    """

    route: Route
    sent: int = 0
    refused: int = 0
    may_have_run: bool = False
    failed_ids: frozenset[str] = frozenset()
    last_reason: str = ""
    last_detail: str = ""

    def record_sent(self) -> None:
        """Counts an attempt that is about to be sent."""
        self.sent += 1

    def record_failure(
        self, endpoint_id: str, reason: str, detail: str, may_have_run: bool
    ) -> None:
        """Records why an endpoint gave no usable response."""
        self.failed_ids |= {endpoint_id}
        self.last_reason = reason
        self.last_detail = detail
        self.may_have_run = self.may_have_run or may_have_run

    def record_not_run(self) -> None:
        """Recounts the attempt as refused: the endpoint did not receive or run it."""
        self.sent -= 1
        self.refused += 1

    def record_not_sent(self) -> None:
        """Counts an attempt that was not sent because KV cache was not reserved."""
        self.refused += 1

    def record_withdrawn(self) -> None:
        """Takes back an attempt whose endpoint left before anything was sent."""
        self.sent -= 1

    @property
    def made(self) -> int:
        """The attempts that count, whether or not they were sent."""
        return self.sent + self.refused

    def may_retry(self) -> bool:
        """Returns whether the route allows another attempt."""
        if self.may_have_run and not self.route.is_idempotent:
            return False
        if self.refused > MAX_REFUSALS:
            return False
        return self.sent < self.route.max_attempts

    def pause_s(self) -> float:
        """Returns the seconds until the next attempt at a request that has begun."""
        doublings = self.refused - REFUSALS_BEFORE_PAUSE
        return FIRST_PAUSE_S * 2.0**doublings if doublings >= 0 else 0.0

    def final_error(self) -> Error:
        """Returns the error to respond with when no further attempt is allowed.

        The kind of the error says whether the request may have run.
        """
        if not self.may_have_run:
            return Error(
                ErrorKind.ENDPOINT_REFUSED,
                self.last_detail,
                reason=self.last_reason,
                retry_after_s=RETRY_AFTER_REFUSED_S,
            )
        if self.route.is_idempotent:
            return Error(
                ErrorKind.ENDPOINT_FAILED,
                self.last_detail,
                reason=self.last_reason,
                retry_after_s=RETRY_AFTER_UNREACHABLE_S,
            )
        kind = ErrorKind.OUTCOME_UNKNOWN
        return Error(kind, self.last_detail, reason=self.last_reason)

    def timeout_error(self) -> Error:
        """Returns the error to respond with when the deadline has passed.

        The kind of the error says whether the request may have run.
        """
        if self.may_have_run or self.sent:
            return Error(ErrorKind.TIMED_OUT, "the time limit was reached")
        return Error(
            ErrorKind.DEADLINE_UNREACHABLE,
            "no endpoint came free within the time limit",
            retry_after_s=RETRY_AFTER_REFUSED_S,
        )
