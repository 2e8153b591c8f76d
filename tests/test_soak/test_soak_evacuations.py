"""Tests of the checks of evacuated domains and of cold endpoints.

A check that passed over late requests, or counted those of instances with faults, would
hide that an instance does not follow evacuations.
"""

from __future__ import annotations

import pytest

from soak._callers import LOOKUP
from soak._evacuation_scenario import (
    COLD_OVERAGE,
    COLD_RATE,
    COLD_SLACK,
    CONTACT_S,
    EVACUATION_BOUND_S,
    Evacuation,
    find_overrun_cold,
    find_sent_to_evacuated,
)
from soak._request_records import RequestRecords
from standins.platform import Arrival, RegisteredEndpoint, Worker
from tests.test_soak.histories import make_attempt, make_instance

AT = 10.0
WITHDRAWN_AT = 20.0


def _make_endpoint(times: list[float]) -> RegisteredEndpoint:
    worker = Worker("w")
    worker.arrivals = [Arrival(at, f"r{number}") for number, at in enumerate(times)]
    return RegisteredEndpoint(worker, "127.0.0.1:1", "pool", "a")


@pytest.mark.parametrize(
    ("after_s", "domain", "impaired_s", "is_calm", "is_broken"),
    [
        (EVACUATION_BOUND_S + 0.1, "a", None, True, True),
        (EVACUATION_BOUND_S - 0.1, "a", None, True, False),
        (EVACUATION_BOUND_S + 0.1, "b", None, True, False),
        (EVACUATION_BOUND_S + 0.1, "a", CONTACT_S - 0.1, True, False),
        (EVACUATION_BOUND_S + 0.1, "a", CONTACT_S + 0.1, True, True),
        (EVACUATION_BOUND_S + 0.1, "a", None, False, False),
        (WITHDRAWN_AT - AT + 0.1, "a", None, True, False),
    ],
)
async def test_a_late_request_to_an_evacuated_domain_breaks_an_invariant(
    after_s: float,
    domain: str,
    impaired_s: float | None,
    is_calm: bool,
    is_broken: bool,
) -> None:
    records, instance = RequestRecords(), make_instance()
    records.record([make_attempt(instance, LOOKUP, 200, AT, AT + 9.0, "r0")])
    if impaired_s is not None:
        records.impaired_at[instance.name] = [AT + after_s - impaired_s]
    evacuation = Evacuation(domain, AT, WITHDRAWN_AT, is_calm)
    endpoint = _make_endpoint([AT + after_s])
    found = find_sent_to_evacuated(records, [evacuation], [endpoint])
    assert bool(found) == is_broken


@pytest.mark.parametrize("excess", [0, 1])
async def test_too_many_requests_at_a_cold_endpoint_break_an_invariant(
    excess: int,
) -> None:
    allowed = int(COLD_RATE * COLD_OVERAGE + COLD_SLACK)
    times = [AT + 0.5 + 0.01 * number for number in range(allowed + excess)]
    # Those of before and after don't count.
    endpoint = _make_endpoint([AT - 0.1, *times, AT + 9.0])
    assert bool(find_overrun_cold([(endpoint, AT)])) == bool(excess)
