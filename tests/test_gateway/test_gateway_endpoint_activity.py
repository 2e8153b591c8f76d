"""What an instance keeps of the endpoints that have sent data is bounded."""

from __future__ import annotations

from cicadacourse.gateway._endpoint_activity import RECENT_DATA_S, EndpointActivity

MANY = 5000
NONE = frozenset[str]()
# More than the representation of some endpoints, less than that of many.
MAX_LENGTH = 2000


def test_endpoints_that_are_gone_are_forgotten() -> None:
    """Each process has an id of its own; only a hedge made room for new ones."""
    activity = EndpointActivity()
    for number in range(MANY):
        activity.record_data(f"pool-{number % 100}", f"endpoint-{number}", number)
    assert len(repr(activity)) < MAX_LENGTH


def test_data_of_another_endpoint_of_the_pool_are_recent_for_a_time() -> None:
    activity = EndpointActivity()
    activity.record_data("engines", "one", 1.0)
    activity.record_data("plain", "two", 1.0)
    activity.record_data("engines", "three", 2.0)
    activity.record_data("engines", "one", 2.1)
    now_s = 2.0 + RECENT_DATA_S
    assert activity.has_recent_data("engines", NONE, now_s)
    assert activity.has_recent_data("engines", frozenset({"one"}), now_s)
    assert activity.has_recent_data("engines", frozenset({"three"}), now_s)
    assert not activity.has_recent_data("engines", frozenset({"one", "three"}), now_s)
    assert not activity.has_recent_data("engines", frozenset({"one"}), now_s + 0.05)
    assert not activity.has_recent_data("plain", NONE, now_s)
    assert not activity.has_recent_data("other", NONE, now_s)
