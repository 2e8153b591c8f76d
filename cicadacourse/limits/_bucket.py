"""A token bucket."""

from __future__ import annotations

import attrs


@attrs.define
class TokenBucket:
    """Fills at a rate up to a burst.

    :param rate: tokens per second.
    :param burst: the most tokens it holds.
    :param level: tokens that it holds at :attr:`at`.
    :param at: when the level was worked out, in seconds.
    """

    rate: float
    burst: float
    level: float
    at: float

    def fill(self, at: float) -> None:
        """Brings the level up to a moment."""
        elapsed_s = max(0.0, at - self.at)
        self.level = min(self.burst, self.level + self.rate * elapsed_s)
        self.at = max(at, self.at)

    def change(self, rate: float, burst: float) -> None:
        """Takes on another rate and burst; call :meth:`fill` first."""
        self.rate = rate
        self.burst = burst
        self.level = min(burst, self.level)

    def take(self, tokens: float) -> bool:
        """Takes tokens if there are so many."""
        if tokens > self.level:
            return False
        self.level -= tokens
        return True

    def seconds_until(self, tokens: float) -> float:
        """Returns how long until there are so many tokens, if none are taken."""
        missing = max(0.0, tokens - self.level)
        if missing and not self.rate:
            return float("inf")
        return missing / self.rate if missing else 0.0
