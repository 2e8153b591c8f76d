"""Random histories of instances that share a budget of repeats and come and go."""

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
    """Instances send and repeat as fast as they may; one change of them a window."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.firsts: list[float] = []
        self.repeats: list[float] = []
        self.changed_at = 0.0
        self.budgets = [self._make() for _ in range(3)]
        # The instances have run for a while.
        self.now += 2 * WINDOW_S

    def _make(self) -> RetryBudget:
        return RetryBudget(RATIO, SLACK, WINDOW_S, started=self.now)

    @rule(who=st.integers(0, MAX_INSTANCES), count=st.integers(1, 30))
    def send(self, who: int, count: int) -> None:
        """Requests come to one instance."""
        budget = self.budgets[who % len(self.budgets)]
        for _ in range(count):
            budget.record_first_attempt(POOL, self.now)
            self.firsts.append(self.now)

    @rule(who=st.integers(0, MAX_INSTANCES))
    def repeat_all_that_is_allowed(self, who: int) -> None:
        """Every attempt at one instance fails."""
        budget = self.budgets[who % len(self.budgets)]
        while budget.try_acquire_retry(POOL, len(self.budgets), self.now):
            self.repeats.append(self.now)

    @rule(seconds=st.floats(0.1, WINDOW_S))
    def pass_time(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds

    @precondition(lambda self: self.now - self.changed_at > WINDOW_S)
    @rule()
    def all_start_anew(self) -> None:
        """All instances are killed at once and forget what they have spent."""
        self.changed_at = self.now
        self.budgets = [self._make() for _ in self.budgets]

    @precondition(lambda self: self.now - self.changed_at > WINDOW_S)
    @precondition(lambda self: len(self.budgets) < MAX_INSTANCES)
    @rule()
    def one_joins(self) -> None:
        """An instance is added."""
        self.changed_at = self.now
        self.budgets.append(self._make())

    @precondition(lambda self: self.now - self.changed_at > WINDOW_S)
    @precondition(lambda self: len(self.budgets) > 1)
    @rule()
    def one_leaves(self) -> None:
        """An instance is taken away; the others' shares grow."""
        self.changed_at = self.now
        self.budgets.pop()

    @invariant()
    def the_whole_budget_holds(self) -> None:
        """No window has more repeats than the budget allows."""
        oldest = self.now - WINDOW_S
        firsts = sum(at >= oldest for at in self.firsts)
        repeats = sum(at >= oldest for at in self.repeats)
        assert repeats <= RATIO * firsts + SLACK


TestSharedBudget = SharedBudget.TestCase


def test_an_instance_that_has_just_started_has_a_part_of_its_slack() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, started=0.0)
    early = sum(budget.try_acquire_retry(POOL, 1, now=1.0) for _ in range(100))
    later = sum(budget.try_acquire_retry(POOL, 1, now=30.0) for _ in range(100))
    assert 0 < early < later / 2
