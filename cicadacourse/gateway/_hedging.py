"""When a hedge, a further attempt beside those in progress, may be started."""

from __future__ import annotations

import attrs

# Time after a hedge without a response until the next one; it doubles with each, up to
# the maximum. A slot or a permit is often free again within the first.
FIRST_DEFERRAL_S = 0.25
MAX_DEFERRAL_S = 2.0
# A hedge that starts later than this before the deadline can't respond in time.
MIN_TIME_LEFT_S = 0.05
# If a timer fires later than this, the process was paused or the loop was late, and the
# data of a sound endpoint may only not have been read yet.
MAX_LATENESS_S = 0.2
# Added to timers, which may fire early by the clock's resolution.
TIMER_SLACK_S = 0.002


@attrs.define
class HedgeTimer:
    """Defers the hedges of one request after each one that brought no response.

    :ivar not_before: when the next one may be started, loop time in seconds.
    """

    not_before: float = float("-inf")
    _deferral_s: float = FIRST_DEFERRAL_S

    def check_pause(self, due_at: float, now_s: float) -> None:
        """Defers the next hedge if the loop has come to it late.

        :param due_at: when the hedge was due, loop time in seconds.
        """
        if now_s - due_at > MAX_LATENESS_S:
            self.not_before = now_s + FIRST_DEFERRAL_S

    def defer(self, now_s: float) -> None:
        """Records that a hedge was denied or failed."""
        self.not_before = now_s + self._deferral_s
        self._deferral_s = min(MAX_DEFERRAL_S, 2 * self._deferral_s)
