"""Ejection of failing endpoints with its bounds, and the retry budget.

The tests guard against requests to a failing endpoint, against the ejection of a whole
pool, and against retries that multiply the load on a failing pool.
"""

from __future__ import annotations

from cicadacourse.placement import EndpointHealth, RetryBudget

IDS = [f"e{number}" for number in range(5)]


def test_an_unresponsive_endpoint_is_ejected_and_readmitted() -> None:
    health = EndpointHealth()
    health.record_transport_failure("e0", now_s=10.0)
    assert "e0" not in health.usable_ids(IDS, now_s=10.5)
    assert "e0" in health.usable_ids(IDS, now_s=11.5)


def test_the_ejection_time_grows_with_each_failure() -> None:
    health = EndpointHealth()
    health.record_transport_failure("e0", now_s=10.0)
    health.record_transport_failure("e0", now_s=11.1)
    assert health.is_ejected("e0", now_s=13.0)


def test_an_endpoint_that_fails_half_of_its_requests_is_ejected() -> None:
    health = EndpointHealth()
    ejected = False
    for number in range(40):
        if number % 2:
            ejected = health.record_error_response("e0", now_s=10.0) or ejected
        else:
            health.record_success("e0")
    assert ejected


def test_a_low_share_of_errors_ejects_no_endpoint() -> None:
    health = EndpointHealth()
    for number in range(70):
        if number % 7:
            health.record_success("e0")
        else:
            assert not health.record_error_response("e0", now_s=10.0)


def test_the_ejected_share_of_a_pool_is_bounded() -> None:
    health = EndpointHealth()
    for number, endpoint_id in enumerate(IDS):
        health.record_transport_failure(endpoint_id, now_s=10.0 + number / 10)
    usable = health.usable_ids(IDS, now_s=10.6)
    assert usable == {"e0", "e1", "e2"}


def test_a_restarted_endpoint_is_not_ejected() -> None:
    health = EndpointHealth()
    health.record_transport_failure("e0", now_s=10.0)
    health.forget("e0")
    assert not health.is_ejected("e0", now_s=10.1)


def test_retries_stay_within_the_shared_budget() -> None:
    ratio, slack, window_s, instances, first_attempts = 0.2, 100.0, 10.0, 7, 50
    retries = 0
    for _ in range(instances):
        budget = RetryBudget(ratio, slack, window_s)
        for number in range(first_attempts):
            budget.record_first_attempt("p", now_s=number / 10)
        retries += sum(
            budget.try_acquire_retry("p", instances, now_s=5.0) for _ in range(999)
        )
    assert 0 < retries <= ratio * first_attempts * instances + slack


def test_retries_are_allowed_again_after_the_window() -> None:
    budget = RetryBudget(0.2, 2.0, 10.0)
    assert budget.try_acquire_retry("p", 1, now_s=0.0)
    assert not budget.try_acquire_retry("p", 1, now_s=9.0)
    assert budget.try_acquire_retry("p", 1, now_s=10.5)


def test_endpoints_that_have_ended_are_left_out_beyond_the_largest_share() -> None:
    """The cap on ejections kept processes in use that were known to have ended."""
    health = EndpointHealth()
    for endpoint_id in IDS[:4]:
        health.record_ended(endpoint_id, now_s=10.0)
    assert health.usable_ids(IDS, now_s=10.1) == {"e4"}
    health.record_success("e0")
    assert health.usable_ids(IDS, now_s=10.1) == {"e0", "e4"}
    assert health.usable_ids(IDS, now_s=30.0) == set(IDS)


def test_a_pool_all_of_whose_endpoints_have_ended_is_used_nevertheless() -> None:
    """They may have been taken for ended wrongly, and there is no other."""
    health = EndpointHealth()
    for endpoint_id in IDS:
        health.record_ended(endpoint_id, now_s=10.0)
    assert len(health.usable_ids(IDS, now_s=10.1)) == 3
