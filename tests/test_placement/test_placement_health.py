"""Which endpoints are set aside, for how long, and never too many of them."""

from __future__ import annotations

from cicadacourse.placement import EndpointHealth, RetryBudget

IDS = [f"e{number}" for number in range(5)]


def test_sets_a_silent_endpoint_aside_and_takes_it_back() -> None:
    health = EndpointHealth()
    health.record_transport_failure("e0", now=10.0)
    assert "e0" not in health.usable_ids(IDS, now=10.5)
    assert "e0" in health.usable_ids(IDS, now=11.5)


def test_sets_it_aside_for_longer_each_time() -> None:
    health = EndpointHealth()
    health.record_transport_failure("e0", now=10.0)
    health.record_transport_failure("e0", now=11.1)
    assert health.is_ejected("e0", now=13.0)


def test_finds_an_endpoint_that_fails_half_of_its_answers() -> None:
    health = EndpointHealth()
    found = False
    for number in range(40):
        if number % 2:
            found = health.record_error_answer("e0", now=10.0) or found
        else:
            health.record_success("e0")
    assert found


def test_bears_the_errors_that_some_services_always_give() -> None:
    health = EndpointHealth()
    for number in range(70):
        if number % 7:
            health.record_success("e0")
        else:
            assert not health.record_error_answer("e0", now=10.0)


def test_never_sets_more_than_a_share_aside() -> None:
    health = EndpointHealth()
    for number, endpoint_id in enumerate(IDS):
        health.record_transport_failure(endpoint_id, now=10.0 + number / 10)
    usable = health.usable_ids(IDS, now=10.6)
    assert usable == {"e0", "e1", "e2"}


def test_forgets_what_a_former_start_did() -> None:
    health = EndpointHealth()
    health.record_transport_failure("e0", now=10.0)
    health.forget("e0")
    assert not health.is_ejected("e0", now=10.1)


def test_repeats_stay_within_the_shared_allowance() -> None:
    ratio, slack, window_s, instances, firsts = 0.2, 100.0, 10.0, 7, 50
    repeats = 0
    for _ in range(instances):
        budget = RetryBudget(ratio, slack, window_s)
        for number in range(firsts):
            budget.record_first_attempt("p", now=number / 10)
        repeats += sum(
            budget.try_acquire_retry("p", instances, now=5.0) for _ in range(999)
        )
    assert 0 < repeats <= ratio * firsts * instances + slack


def test_repeats_are_allowed_again_when_the_window_has_passed() -> None:
    budget = RetryBudget(0.2, 2.0, 10.0)
    assert budget.try_acquire_retry("p", 1, now=0.0)
    assert not budget.try_acquire_retry("p", 1, now=9.0)
    assert budget.try_acquire_retry("p", 1, now=10.5)
