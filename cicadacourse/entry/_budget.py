"""Retry budgets, so that retries cannot multiply a pool's load."""

from __future__ import annotations

from cicadacourse.util.clock import now

FLOOR_PER_S = 0.2
FLOOR_TOKENS = 2.0
MAX_SAVED_TOKENS = 50.0


class RetryBudget:
    """Allows a share of retries per first attempt, plus a small floor.

    :param share: retries earned by each first attempt.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._saved = 0.0
        self._floor = FLOOR_TOKENS
        self._refilled_at = now()

    def note_first_attempt(self) -> None:
        """Earns the share of one first attempt."""
        self._saved = min(self._saved + self.share, MAX_SAVED_TOKENS)

    def take(self) -> bool:
        """Takes one retry, and returns whether there was one to take."""
        if self._saved >= 1:
            self._saved -= 1
            return True
        self._refill()
        if self._floor >= 1:
            self._floor -= 1
            return True
        return False

    def _refill(self) -> None:
        time = now()
        earned = (time - self._refilled_at) * FLOOR_PER_S
        self._floor = min(self._floor + earned, FLOOR_TOKENS)
        self._refilled_at = time
