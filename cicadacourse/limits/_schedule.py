"""A token bucket whose tokens can be reserved for a later time."""

from __future__ import annotations

import attrs

from cicadacourse.limits._messages import Permit

# Seconds of its rate that a bucket holds. A larger burst after idle time would bring
# more than an endpoint takes within a few seconds.
BURST_S = 0.5
# A bucket holds one token at least, or it could never grant a permit.
MIN_BURST = 1.0


@attrs.define
class PermitSchedule:
    """Grants permits at a rate.

    It starts without tokens by default: another instance may have granted permits of
    the same key until now.

    :param rate: permits per second.
    :param updated_at: when ``_tokens`` was last computed, loop time in seconds.
    :param tokens: permits that are available at the start.
    :ivar used_at: when a permit was last asked for, loop time in seconds.
    """

    rate: float
    updated_at: float
    used_at: float = attrs.field(init=False)
    _tokens: float = 0.0

    @used_at.default
    def _get_start(self) -> float:
        return self.updated_at

    def acquire(self, rate: float, max_wait_s: float, now_s: float) -> Permit:
        """Takes a permit, at the latest for ``max_wait_s`` from now.

        :param rate: permits per second from now on.
        """
        self._refill(now_s)
        self.rate = rate
        self._tokens = min(self._tokens, self._burst)
        self.used_at = now_s
        wait_s = max(0.0, (1.0 - self._tokens) / rate)
        is_granted = wait_s <= max_wait_s
        if is_granted:
            self._tokens -= 1.0
        return Permit(is_granted=is_granted, wait_s=wait_s)

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, BURST_S * self.rate)

    def _refill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.updated_at)
        self._tokens = min(self._burst, self._tokens + passed_s * self.rate)
        self.updated_at = now_s
