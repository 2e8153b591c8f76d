"""What one instance may admit of one organisation on one route."""

from __future__ import annotations

import asyncio
import collections
import math
from typing import Any

import attrs

from cicadacourse.limits._bucket import TokenBucket

_DEMAND_MEMORY_S = 2.0


@attrs.define
class Slice:
    """Tokens that are void after a moment."""

    tokens: float
    expires_at: float


class Demand:
    """The tokens asked for per second, with old requests counting less and less."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = -math.inf

    def add(self, tokens: float, at: float) -> None:
        """Notes tokens asked for."""
        self._rate = self.per_second(at) + tokens / _DEMAND_MEMORY_S
        self._at = at

    def per_second(self, at: float) -> float:
        """Returns tokens per second."""
        return self._rate * math.exp((self._at - at) / _DEMAND_MEMORY_S)


class Share:
    """The slices held, the demand, and what the keeper last had left.

    Others only take from the keeper's bucket, so what was left and has flowed in since
    is the most that it can hold; a request for more is refused here, truthfully.

    :param slice_s: how much demand a slice is to cover, in seconds.
    """

    def __init__(self, slice_s: float) -> None:
        self.demand = Demand()
        self.keeper_lost_until = -math.inf
        self.refill: asyncio.Task[Any] | None = None
        self.local: TokenBucket | None = None
        self._slice_s = slice_s
        self._left: TokenBucket | None = None
        self._short_until = -math.inf
        self._short_tokens = 0.0
        self._slices: collections.deque[Slice] = collections.deque()
        self._last_tokens = 0.0
        self._last_at = -math.inf

    def add(self, tokens: float, expires_at: float, at: float) -> None:
        """Takes in a slice."""
        self._slices.append(Slice(tokens, expires_at))
        self._last_tokens = tokens
        self._last_at = at

    def spend(self, tokens: float, at: float) -> bool:
        """Spends tokens, the ones that expire first first, if there are enough."""
        while self._slices and self._slices[0].expires_at <= at:
            self._slices.popleft()
        if sum(one.tokens for one in self._slices) < tokens:
            return False
        while tokens > 0:
            first = self._slices[0]
            spent = min(first.tokens, tokens)
            first.tokens -= spent
            tokens -= spent
            if first.tokens <= 0:
                self._slices.popleft()
        return True

    def use_limit(self, rate: float, burst: float) -> None:
        """Forgets what the keeper had left if it was under another limit."""
        if self._left is None:
            return
        if (self._left.rate, self._left.burst) != (rate, burst):
            self._left = None
            self._short_until = -math.inf

    def note_left(self, left: TokenBucket) -> None:
        """Notes what the keeper's bucket had left at the most."""
        self._left = left

    def note_short(self, tokens: float, until: float) -> None:
        """Notes that the keeper had too little, so that it is not asked at once."""
        self._short_tokens = tokens
        self._short_until = until

    def wait_s(self, tokens: float, at: float) -> float:
        """Returns for how long asking the keeper for so many tokens is of no use."""
        short_s = self._short_until - at if tokens >= self._short_tokens else 0.0
        if self._left is None:
            return max(0.0, short_s)
        self._left.fill(at)
        return max(0.0, short_s, self._left.seconds_until(tokens))

    def wanted(self, needed: float, at: float) -> float:
        """Returns how large the next slice should be.

        Twice the last one if that was used up before its time, so that a sudden rise
        costs few messages.
        """
        forecast = self.demand.per_second(at) * self._slice_s
        if at - self._last_at < self._slice_s:
            forecast = max(forecast, 2 * self._last_tokens)
        return needed + forecast
