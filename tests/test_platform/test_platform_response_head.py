"""What the headers of endpoints' responses say about further requests."""

from __future__ import annotations

import h11
import pytest

from cicadacourse.exchange import ResponseHead
from cicadacourse.platform._response_head import read_head

MAX_RETRY_AFTER_S = 86_400.0


def head_of(status: int, *headers: tuple[str, str]) -> ResponseHead:
    """Returns what is read from a response."""
    return read_head(h11.Response(status_code=status, headers=list(headers)))


@pytest.mark.parametrize(
    ("value", "expected_s"),
    [
        ("5", 5.0),
        ("0.25", 0.25),
        ("2.50", 2.5),
        (".5", 0.5),
        ("3.", 3.0),
        ("0", 0.0),
        ("007", 7.0),
        ("86401", MAX_RETRY_AFTER_S),
        pytest.param("9" * 400, MAX_RETRY_AFTER_S, id="huge"),
    ],
)
def test_a_refusal_states_the_seconds_without_requests(
    value: str, expected_s: float
) -> None:
    """A huge time is bounded, as timers have no greater one."""
    head = head_of(503, ("Retry-After", value), ("X-Cicadacourse-Not-Executed", "1"))
    assert head.retry_after_s == expected_s
    assert not head.is_retry_after_malformed
    assert "Retry-After" in [item.name for item in head.headers]


@pytest.mark.parametrize(
    "value",
    ["", "-1", "-0.5", "nan", "inf", "Infinity", "1e3", "1_0", "0x5", "\u0663", "5 s"]
    + ["soon", "5, 6", ".", "Wed, 21 Oct 2026 07:28:00 GMT"],
)
def test_a_malformed_time_is_ignored(value: str) -> None:
    """A date is malformed as well: the endpoint's clock may differ from ours."""
    head = read_head(
        h11.Response(status_code=503, headers=[(b"retry-after", value.encode())])
    )
    assert head.retry_after_s is None
    assert head.is_retry_after_malformed


@pytest.mark.parametrize("status", [200, 408, 421, 429, 500, 502, 504])
def test_only_a_503_states_a_time(status: int) -> None:
    head = head_of(status, ("Retry-After", "5"))
    assert head.retry_after_s is None
    assert not head.is_retry_after_malformed
    assert [item.value for item in head.headers] == ["5"]


@pytest.mark.parametrize("status", [200, 409, 429, 500, 503, 504])
@pytest.mark.parametrize("name", ["Server-Leaving", "server-leaving"])
def test_any_response_may_state_that_its_endpoint_leaves(
    status: int, name: str
) -> None:
    head = head_of(status, (name, "1"))
    assert head.is_leaving
    assert [item.value for item in head.headers] == ["1"]


@pytest.mark.parametrize("value", ["0", "", "true", "yes", "01", "1.0", "2", "-1"])
def test_no_other_value_states_that_an_endpoint_leaves(value: str) -> None:
    """Leaving is final, so a value without a defined meaning must not begin it."""
    assert not head_of(200, ("Server-Leaving", value)).is_leaving


def test_a_response_without_the_headers_states_nothing() -> None:
    head = head_of(503, ("Content-Type", "text/plain"))
    assert head.retry_after_s is None
    assert not head.is_retry_after_malformed
    assert not head.is_leaving
