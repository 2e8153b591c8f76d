"""The retry budget that all instances share.

Retries must not multiply the load on a failing pool, nor that of callers which retry at
once themselves. Each instance keeps to an equal share of the budget. This needs no
messages, and the budget also holds while instances can't reach each other.
"""

from __future__ import annotations

from collections import defaultdict, deque

import attrs

# Share of the whole budget that is used. The rest covers instances that are not known.
USABLE_SHARE = 0.7
# Share of the own slack that is used in the first window after a start, as the retries
# before a restart are not known any more.
FIRST_WINDOW_SHARE = 0.25


@attrs.frozen
class _InstanceCount:
    """The number of instances that were known at a moment."""

    at_s: float
    instances: int


@attrs.define
class RetryBudget:
    """Counts first attempts and retries of each pool in a sliding window.

    :param ratio: retries allowed for each first attempt.
    :param slack: retries that are allowed to all instances together in any case.
    :param window_s: length of the window in seconds.
    :param started: when this instance started, loop time in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    started: float = float("-inf")
    _instances: deque[_InstanceCount] = attrs.field(factory=deque)
    _first_attempts_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )
    _retries_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )

    def record_first_attempt(self, pool: str, now_s: float) -> None:
        """Records the first attempt of a request."""
        self._first_attempts_by_pool[pool].append(now_s)

    def try_acquire_retry(self, pool: str, instances: int, now_s: float) -> bool:
        """Takes a retry from the budget if it allows one, and returns whether it did.

        :param instances: the number of instances that share the slack.
        """
        first_attempts = _trim(
            self._first_attempts_by_pool[pool], now_s - self.window_s
        )
        retries = _trim(self._retries_by_pool[pool], now_s - self.window_s)
        slack = self._slack_share(instances, now_s)
        allowed_retries = USABLE_SHARE * (self.ratio * first_attempts + slack)
        if retries + 1 > allowed_retries:
            return False
        self._retries_by_pool[pool].append(now_s)
        return True

    def _slack_share(self, instances: int, now_s: float) -> float:
        """Returns this instance's share of the slack, in retries.

        Instances that left within the window may have used their shares, so they count
        as well.
        """
        while self._instances and self._instances[0].at_s < now_s - self.window_s:
            self._instances.popleft()
        if self._instances and self._instances[-1].instances == instances:
            self._instances.pop()
        self._instances.append(_InstanceCount(now_s, instances))
        max_instances = max(item.instances for item in self._instances)
        instance_share = self.slack / max(1, max_instances)
        is_new = now_s - self.started < self.window_s
        return FIRST_WINDOW_SHARE * instance_share if is_new else instance_share


def _trim(times: deque[float], oldest: float) -> int:
    while times and times[0] < oldest:
        times.popleft()
    return len(times)
