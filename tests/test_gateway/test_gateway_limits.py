"""The read timeout of an attempt, after which another endpoint is tried.

It guards against callers that disconnect before a failed endpoint is replaced, and
against retries of prompts that merely take long to prefill.
"""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Route, RouteKind
from cicadacourse.exchange import CallerRequest, Prompt
from cicadacourse.gateway._admission import (
    CALLER_IDLE_TIMEOUT_OBJECTIVES,
    AdmittedRequest,
)

ROUTE = Route(
    "long",
    "a.example",
    "/",
    RouteKind.STREAM,
    (),
    timeout_s=15.0,
    target_s=3.0,
    gap_target_s=0.8,
    max_attempts=2,
    is_resumable=True,
)
REQUEST = CallerRequest(
    id="r",
    method="POST",
    host="a.example",
    target="/",
    key=None,
    arrived=0.0,
    timeout_s=None,
    last_event_id=None,
    prompt=Prompt("m", 500_000, 800),
    headers=(),
    body=b"",
)
ADMITTED = AdmittedRequest(REQUEST, ROUTE, None, deadline=15.0, catalog_version=1)
ROUTE_IDLE_TIMEOUT_S = CALLER_IDLE_TIMEOUT_OBJECTIVES * ROUTE.target_s


def test_another_endpoint_is_tried_after_half_of_the_callers_idle_timeout() -> None:
    assert ADMITTED.hedging_delay_s(15.0, expected_s=0.5) == ROUTE_IDLE_TIMEOUT_S / 2


def test_a_prompt_with_a_long_prefill_is_not_abandoned_midway() -> None:
    assert ADMITTED.hedging_delay_s(15.0, expected_s=5.0) == 10.0


def test_a_hedging_delay_never_exceeds_the_callers_idle_timeout() -> None:
    assert ADMITTED.hedging_delay_s(15.0, expected_s=9.0) == ROUTE_IDLE_TIMEOUT_S


def test_a_first_event_after_the_callers_idle_timeout_is_of_no_use() -> None:
    """A prompt must not be started if its caller abandons it before its first event.

    Soak seed 1 showed this failure.
    """
    assert (
        ADMITTED.placement_request("p", 0.0, frozenset()).time_left_s
        == ROUTE_IDLE_TIMEOUT_S
    )
    assert ADMITTED.placement_request("p", 14.0, frozenset()).time_left_s <= 1.0


def test_a_call_is_retried_elsewhere_after_about_two_latency_objectives() -> None:
    route = attrs.evolve(ROUTE, kind=RouteKind.SAFE, target_s=0.25)
    admitted = attrs.evolve(ADMITTED, route=route)
    assert admitted.hedging_delay_s(4.0) < 3 * route.target_s
