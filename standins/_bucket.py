"""A token bucket on the loop's clock."""

from __future__ import annotations

from cicadacourse.util.clock import now

ROUNDING = 1e-9


class TokenBucket:
    """Allows a rate of actions with a burst.

    :param rate_per_s: actions per second.
    :param burst: actions at once after a quiet time.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._filled_at: float | None = None

    def take(self) -> float:
        """Takes one action; returns 0, or the seconds until one is allowed."""
        time = now()
        since = 0.0 if self._filled_at is None else time - self._filled_at
        self._filled_at = time
        self._level = min(self.burst, self._level + since * self.rate_per_s)
        if self._level >= 1 - ROUNDING:
            self._level -= 1
            return 0.0
        return (1 - self._level) / self.rate_per_s
