"""Random histories of instances that share a retry budget, join and leave.

They guard against retries of all instances together that exceed the budget.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cicadacourse.placement import RetryBudget

POOL = "p"
RATIO = 0.2
SLACK = 24.0
WINDOW_S = 10.0
MAX_INSTANCES = 5


class SharedBudget(RuleBasedStateMachine):
    """Instances retry as often as they may, and change at most once per window.

    A change adds or removes an instance or restarts all of them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.first_attempts: list[float] = []
        self.retries: list[float] = []
        self.changed_at_s = 0.0
        self.budgets = [self._make() for _ in range(3)]
        # The first window, with its smaller slack, has passed for these instances.
        self.now_s += 2 * WINDOW_S

    def _make(self) -> RetryBudget:
        return RetryBudget(RATIO, SLACK, WINDOW_S, started=self.now_s)

    @rule(instance=st.integers(0, MAX_INSTANCES), count=st.integers(1, 30))
    def send(self, instance: int, count: int) -> None:
        """One instance receives requests."""
        budget = self.budgets[instance % len(self.budgets)]
        for _ in range(count):
            budget.record_first_attempt(POOL, self.now_s)
            self.first_attempts.append(self.now_s)

    @rule(instance=st.integers(0, MAX_INSTANCES))
    def retry_until_refused(self, instance: int) -> None:
        """Every attempt of one instance fails."""
        budget = self.budgets[instance % len(self.budgets)]
        while budget.try_acquire_retry(POOL, len(self.budgets), self.now_s):
            self.retries.append(self.now_s)

    @rule(seconds=st.floats(0.1, WINDOW_S))
    def pass_time(self, seconds: float) -> None:
        """Time passes."""
        self.now_s += seconds

    @precondition(lambda self: self.now_s - self.changed_at_s > WINDOW_S)
    @rule()
    def restart_all(self) -> None:
        """All instances are killed at once, which loses their records of retries."""
        self.changed_at_s = self.now_s
        self.budgets = [self._make() for _ in self.budgets]

    @precondition(lambda self: self.now_s - self.changed_at_s > WINDOW_S)
    @precondition(lambda self: len(self.budgets) < MAX_INSTANCES)
    @rule()
    def add_instance(self) -> None:
        """An instance is added."""
        self.changed_at_s = self.now_s
        self.budgets.append(self._make())

    @precondition(lambda self: self.now_s - self.changed_at_s > WINDOW_S)
    @precondition(lambda self: len(self.budgets) > 1)
    @rule()
    def remove_instance(self) -> None:
        """An instance leaves, so the shares of the others grow."""
        self.changed_at_s = self.now_s
        self.budgets.pop()

    @invariant()
    def shared_budget_holds(self) -> None:
        """No window has more retries than the budget allows."""
        oldest_s = self.now_s - WINDOW_S
        first_attempts = sum(at_s >= oldest_s for at_s in self.first_attempts)
        retries = sum(at_s >= oldest_s for at_s in self.retries)
        assert retries <= RATIO * first_attempts + SLACK


TestSharedBudget = SharedBudget.TestCase


def test_an_instance_has_a_part_of_its_slack_after_a_start() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, started=0.0)
    early = sum(budget.try_acquire_retry(POOL, 1, now_s=1.0) for _ in range(100))
    later = sum(budget.try_acquire_retry(POOL, 1, now_s=30.0) for _ in range(100))
    assert 0 < early < later / 2


def test_few_hedges_of_silences_that_may_be_short_are_granted() -> None:
    """One in twenty of the requests of a window, and always one."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S)
    assert budget.try_acquire_early_hedge(POOL, 1.0)
    assert not budget.try_acquire_early_hedge(POOL, 1.0)
    for _ in range(60):
        budget.record_first_attempt(POOL, 1.0)
    granted = [budget.try_acquire_early_hedge(POOL, 2.0) for _ in range(5)]
    assert granted == [True, True, False, False, False]
    assert budget.try_acquire_early_hedge(POOL, 2.0 + WINDOW_S + 0.1)


def test_a_quarter_of_the_retries_is_spare() -> None:
    """The others are kept for failures and for silences that last."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S)
    spare, granted = 0, 0
    while budget.try_acquire_retry(POOL, 1, 1.0):
        granted += 1
        spare += budget.has_spare(POOL, 1, 1.0)
    assert granted == int(0.7 * SLACK)
    assert spare == granted // 4 - 1


def test_first_attempts_are_forgotten_without_any_retry() -> None:
    """They grew with each request until a retry was asked for."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S)
    for number in range(10_000):
        budget.record_first_attempt(POOL, now_s=0.1 * number)
    assert len(repr(budget)) < 5000
