"""The schedule of permits keeps to its rate in every window, whatever is asked for."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.limits import PermitSchedule
from cicadacourse.limits._schedule import BURST_S, MIN_BURST

WINDOW_S = 4.0

ASKED = st.lists(
    st.tuples(st.floats(0, 3), st.sampled_from([0.0, 0.5, 5.0])), max_size=60
)


@given(rate=st.sampled_from([0.1, 0.7, 1.0, 5.0, 20.0]), asked=ASKED)
def test_no_window_has_more_permits_than_the_rate_and_a_burst(
    rate: float, asked: list[tuple[float, float]]
) -> None:
    schedule = PermitSchedule(rate, 0.0)
    at_s, valid_at = 0.0, []
    for pause_s, max_wait_s in asked:
        at_s += pause_s
        permit = schedule.acquire(rate, max_wait_s, at_s)
        if permit.is_granted:
            assert permit.wait_s <= max_wait_s
            valid_at.append(at_s + permit.wait_s)
    most = WINDOW_S * rate + max(MIN_BURST, BURST_S * rate)
    for start in valid_at:
        count = sum(start <= at < start + WINDOW_S for at in valid_at)
        assert count <= most + 1e-6


def test_a_new_schedule_grants_nothing_at_once() -> None:
    """The instance that granted permits until now may have used them up."""
    permit = PermitSchedule(2.0, 0.0).acquire(2.0, 0.0, 0.0)
    assert not permit.is_granted
    assert permit.wait_s == 0.5


def test_a_lowered_rate_takes_effect_on_the_tokens_that_are_left() -> None:
    schedule = PermitSchedule(20.0, 0.0)
    granted = [schedule.acquire(1.0, 0.0, 10.0).is_granted for _ in range(3)]
    assert granted == [True, False, False]
