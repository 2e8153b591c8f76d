"""An estimate of the prompt tokens that an engine has still to prefill."""

from __future__ import annotations


class PrefillBacklog:
    """Tokens granted and not yet prefilled, by priority, drained at a fixed rate.

    The engine prefills the higher priority first; its load report lags too far to
    tell when a short prompt would start, so the backlog is computed.

    :param tokens_per_s: the engine's prefill rate.
    :param time: now, on the loop's clock.
    """

    def __init__(self, tokens_per_s: float, time: float) -> None:
        self.tokens_per_s = tokens_per_s
        self._time = time
        self._tokens_by_priority: dict[int, float] = {}

    def add(self, priority: int, tokens: float, time: float) -> None:
        """Counts a prompt that the engine will be sent."""
        self._drain(time)
        left = self._tokens_by_priority.get(priority, 0.0)
        self._tokens_by_priority[priority] = left + tokens

    def wait_s(self, priority: int, time: float) -> float:
        """Returns how long a new prompt of a priority would wait, in seconds."""
        self._drain(time)
        ahead = sum(
            tokens
            for other, tokens in self._tokens_by_priority.items()
            if other >= priority
        )
        return ahead / self.tokens_per_s

    def empty_in_s(self, highest: int, time: float) -> float:
        """Returns when nothing up to a priority is left if no more comes."""
        self._drain(time)
        lower = [p for p in self._tokens_by_priority if p <= highest]
        if not lower:
            return 0.0
        return sum(self._tokens_by_priority.values()) / self.tokens_per_s

    def _drain(self, time: float) -> None:
        tokens = (time - self._time) * self.tokens_per_s
        self._time = time
        for priority in sorted(self._tokens_by_priority, reverse=True):
            taken = min(tokens, self._tokens_by_priority[priority])
            tokens -= taken
            self._tokens_by_priority[priority] -= taken
            if self._tokens_by_priority[priority] <= 0:
                del self._tokens_by_priority[priority]
