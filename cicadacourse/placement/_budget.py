"""The retry budget that all instances share.

Retries must not multiply the load on a failing pool, nor the load that callers add by
retrying at once themselves. Each instance keeps to the ratio of its own first attempts
and to an equal share of the slack. This needs no messages, and the budget also holds
while instances can't reach each other.
"""

from __future__ import annotations

from collections import defaultdict, deque

import attrs

# Share of the whole budget that is used. The rest covers instances that this one does
# not know of.
USABLE_SHARE = 0.7
# Part of this instance's slack that is used in the first window after a start, as its
# retries before a restart are no longer known.
FIRST_WINDOW_SHARE = 0.25
# Share of the budget beyond which retries are kept for failures and long silences. A
# short silence of a few endpoints is hedged for nothing.
SPARE_SHARE = 0.25
# Hedges of silences that may be short, as a share of the first attempts. The rest of
# the budget is left for failures and for silences that last; a short silence of many
# endpoints would use it up.
EARLY_HEDGE_SHARE = 0.05


@attrs.frozen
class _InstanceCount:
    """The number of instances that were known at a moment."""

    at_s: float
    instances: int


@attrs.define
class RetryBudget:
    """Counts first attempts and retries of each pool in a sliding window.

    :param ratio: retries allowed for each first attempt.
    :param slack: further retries in each window, for all instances together.
    :param window_s: length of the window in seconds.
    :param started: when this instance started, loop time in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    started: float = float("-inf")
    _instance_counts: deque[_InstanceCount] = attrs.field(factory=deque)
    _first_attempts_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )
    _retries_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )
    _early_hedges_by_pool: dict[str, deque[float]] = attrs.field(
        factory=lambda: defaultdict(deque)
    )

    def record_first_attempt(self, pool: str, now_s: float) -> None:
        """Records the first attempt of a request."""
        first_attempts = self._first_attempts_by_pool[pool]
        first_attempts.append(now_s)
        _trim(first_attempts, now_s - self.window_s)

    def try_acquire_early_hedge(self, pool: str, now_s: float) -> bool:
        """Returns whether a hedge may be made for a silence that may be a short one.

        One is always allowed in each window. It takes a retry as well, once it is made.
        """
        first_attempts = _trim(
            self._first_attempts_by_pool[pool], now_s - self.window_s
        )
        hedges = _trim(self._early_hedges_by_pool[pool], now_s - self.window_s)
        if hedges + 1 > max(1.0, EARLY_HEDGE_SHARE * first_attempts):
            return False
        self._early_hedges_by_pool[pool].append(now_s)
        return True

    def try_acquire_retry(self, pool: str, instances: int, now_s: float) -> bool:
        """Takes a retry from the budget if it allows one, and returns whether it did.

        :param pool: the pool's name.
        :param instances: the number of instances that share the slack.
        """
        retries = _trim(self._retries_by_pool[pool], now_s - self.window_s)
        if retries + 1 > self._allowed_retries(pool, instances, now_s):
            return False
        self._retries_by_pool[pool].append(now_s)
        return True

    def has_spare(self, pool: str, instances: int, now_s: float) -> bool:
        """Returns whether less than ``SPARE_SHARE`` of the budget is used.

        :param instances: the number of instances that share the slack.
        """
        retries = _trim(self._retries_by_pool[pool], now_s - self.window_s)
        allowed_retries = self._allowed_retries(pool, instances, now_s)
        return retries + 1 <= SPARE_SHARE * allowed_retries

    def _allowed_retries(self, pool: str, instances: int, now_s: float) -> float:
        """Returns how many retries the window up to now may have in total."""
        first_attempts = _trim(
            self._first_attempts_by_pool[pool], now_s - self.window_s
        )
        slack = self._slack_share(instances, now_s)
        return USABLE_SHARE * (self.ratio * first_attempts + slack)

    def return_retry(self, pool: str) -> None:
        """Gives back the last retry that was taken, as it was not made."""
        if self._retries_by_pool[pool]:
            self._retries_by_pool[pool].pop()

    def _slack_share(self, instances: int, now_s: float) -> float:
        """Returns this instance's share of the slack, in retries.

        Instances that left within the window may have used their shares, so they count
        as well.
        """
        while (
            self._instance_counts
            and self._instance_counts[0].at_s < now_s - self.window_s
        ):
            self._instance_counts.popleft()
        if self._instance_counts and self._instance_counts[-1].instances == instances:
            self._instance_counts.pop()
        self._instance_counts.append(_InstanceCount(now_s, instances))
        max_instances = max(item.instances for item in self._instance_counts)
        instance_share = self.slack / max(1, max_instances)
        is_new = now_s - self.started < self.window_s
        return FIRST_WINDOW_SHARE * instance_share if is_new else instance_share


def _trim(times: deque[float], oldest_s: float) -> int:
    """Drops the times before ``oldest_s`` and returns the number of the others."""
    while times and times[0] < oldest_s:
        times.popleft()
    return len(times)
