"""The budget of repeated sends that all instances share.

Load answered: a failing pool, or callers that repeat at once, must not be multiplied by
the system's own repeats. Each instance keeps to an equal share of the budget, which
needs no messages and holds while instances can't reach each other.
"""

from __future__ import annotations

from collections import defaultdict, deque

import attrs

# Of the whole budget; the rest covers instances that are not known of.
USED_SHARE = 0.7
# Of its slack, in the first window after a start: what was spent before is forgotten.
FIRST_WINDOW_SHARE = 0.25


@attrs.frozen
class _Known:
    """How many instances were known at a time."""

    at: float
    instances: int


@attrs.define
class RetryBudget:
    """Counts first sends and repeats of each pool in a sliding window.

    :param ratio: repeats allowed for each first send.
    :param slack: repeats allowed to all instances together whatever was sent.
    :param window_s: length of the window in seconds.
    :param started: when this instance started, in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    started: float = float("-inf")
    _instances: deque[_Known] = attrs.field(factory=deque)
    _firsts_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )
    _repeats_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )

    def record_first_attempt(self, pool: str, now: float) -> None:
        """Notes the first send of a request."""
        self._firsts_by_pool[pool].append(now)

    def try_acquire_retry(self, pool: str, instances: int, now: float) -> bool:
        """Takes a repeat from the budget if it allows one.

        :param instances: how many instances share the slack.
        """
        firsts = _trim(self._firsts_by_pool[pool], now - self.window_s)
        repeats = _trim(self._repeats_by_pool[pool], now - self.window_s)
        slack = self._slack_share(instances, now)
        allowed = USED_SHARE * (self.ratio * firsts + slack)
        if repeats + 1 > allowed:
            return False
        self._repeats_by_pool[pool].append(now)
        return True

    def _slack_share(self, instances: int, now: float) -> float:
        """Returns this instance's part of the slack.

        Those that left within the window have spent theirs, so they count too.
        """
        while self._instances and self._instances[0].at < now - self.window_s:
            self._instances.popleft()
        if self._instances and self._instances[-1].instances == instances:
            self._instances.pop()
        self._instances.append(_Known(now, instances))
        highest = max(item.instances for item in self._instances)
        share = self.slack / max(1, highest)
        is_new = now - self.started < self.window_s
        return FIRST_WINDOW_SHARE * share if is_new else share


def _trim(times: deque[float], oldest: float) -> int:
    while times and times[0] < oldest:
        times.popleft()
    return len(times)
