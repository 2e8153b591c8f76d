"""Measures the time to first event and the inter-token gaps of a stream."""

from __future__ import annotations

import attrs


@attrs.define
class StreamTimes:
    """Times of a stream's events, for comparison with its latency objectives.

    :ivar first_at_s: when the first event was forwarded, loop time in seconds, or None.
    :ivar last_at_s: when the last event was forwarded, loop time in seconds, or None.
    :ivar longest_gap_s: the longest gap between two events so far, in seconds.
    """

    first_at_s: float | None = None
    longest_gap_s: float = 0.0
    last_at_s: float | None = None

    def record_events(self, now_s: float) -> None:
        """Records that events are forwarded now."""
        if self.first_at_s is None:
            self.first_at_s = now_s
        if self.last_at_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_at_s)
        self.last_at_s = now_s

    def log_fields(self, arrived: float) -> dict[str, float]:
        """Returns the log fields of a stream in seconds, none for other responses.

        :param arrived: when the request arrived, loop time in seconds.
        """
        if self.first_at_s is None:
            return {}
        return {
            "first_event_s": round(self.first_at_s - arrived, 4),
            "longest_gap_s": round(self.longest_gap_s, 4),
        }
