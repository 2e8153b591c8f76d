"""Takes the retries of one request from the budget, for hedges as well."""

from __future__ import annotations

import attrs

from cicadacourse.application import Application
from cicadacourse.errors import Error
from cicadacourse.gateway._admission import AdmittedRequest
from cicadacourse.gateway._attempt import Attempt
from cicadacourse.gateway._attempts import Attempts
from cicadacourse.logs import RETRY_BUDGET_EXHAUSTED, log
from cicadacourse.metrics import RETRIES
from cicadacourse.placement import RetryBudget
from cicadacourse.util.clock import now

# The label of a retry that no failure preceded.
REASON_SILENT = "silent"


@attrs.define
class RetryGrants:
    """Grants the attempts at one request; the first one needs no retry."""

    app: Application
    admitted: AdmittedRequest
    attempts: Attempts
    budget: RetryBudget
    _is_first_due: bool = True
    # The pool that was charged for a retry; None for the first attempt.
    _charged_by_attempt: dict[Attempt, str | None] = attrs.field(factory=dict)

    def acquire(self, attempt: Attempt) -> Error | None:
        """Grants an attempt, or returns the error if the budget allows no retry."""
        if self._is_first_due:
            self._is_first_due = False
            self._charged_by_attempt[attempt] = None
            return None
        if not self._acquire_retry(attempt.pool):
            return self.attempts.final_error()
        self._charged_by_attempt[attempt] = attempt.pool
        return None

    def settle(self, attempt: Attempt) -> None:
        """Takes the grant of an attempt back if nothing of it has reached an endpoint.

        The budget bounds what arrives at endpoints. The number of attempts is bounded
        apart from it.
        """
        if attempt not in self._charged_by_attempt:
            return
        pool = self._charged_by_attempt.pop(attempt)
        if attempt.has_arrived:
            return
        if pool is None:
            self._is_first_due = True
        else:
            self.budget.return_retry(pool)

    def has_spare_retries(self, pool: str) -> bool:
        """Returns whether so much of the budget is left that none need be saved."""
        instances = len(self.app.get("membership").members())
        return self.budget.has_spare(pool, instances, now())

    def _acquire_retry(self, pool: str) -> bool:
        instances = len(self.app.get("membership").members())
        if not self.budget.try_acquire_retry(pool, instances, now()):
            log(RETRY_BUDGET_EXHAUSTED, request=self.admitted.request.id, pool=pool)
            return False
        self.app.metrics.count(
            RETRIES, reason=self.attempts.last_reason or REASON_SILENT
        )
        return True
