"""Tests of the stand-in and the checks of endpoints that leave or turn requests away.

If an endpoint did not say so, or a check passed over what instances send there all the
same, the soak would not see that they go by the registry alone.
"""

from __future__ import annotations

import asyncio

import pytest

from soak._callers import LOOKUP
from soak._decline_scenario import (
    DECLINE_CONTACT_S,
    DRAIN_S,
    MAX_DECLINED,
    find_sent_after_declines,
    find_sent_to_leaving,
)
from soak._request_records import RequestRecords
from standins.callers import Response, encode_request, read_response
from standins.platform import Arrival, Decline, Fleet, Worker
from standins.ports import next_host
from tests.test_soak.histories import make_attempt, make_instance

RETRY_AFTER_S = 1.5


async def test_a_leaving_endpoint_says_so_in_all_responses() -> None:
    async with Fleet(next_host()).running() as fleet:
        endpoint = fleet.add_plain_service("one")
        assert "server-leaving" not in (await _send(endpoint.address)).headers
        endpoint.worker.leaving_header = "1"
        for headers in ({}, {"X-Cicadacourse-Expect-Instance": "other"}):
            response = await _send(endpoint.address, headers)
            assert response.headers["server-leaving"] == "1"
        assert response.status == 421


@pytest.mark.parametrize("is_engine", [False, True])
async def test_an_endpoint_in_need_turns_requests_away_for_the_time_it_names(
    is_engine,
) -> None:
    async with Fleet(next_host()).running() as fleet:
        add = fleet.add_engine if is_engine else fleet.add_plain_service
        endpoint = add("one")
        endpoint.worker.declines_until = asyncio.get_running_loop().time() + 0.5
        response = await _send(endpoint.address)
        assert response.status == 503
        assert response.headers["x-cicadacourse-not-executed"] == "1"
        retry_after_s = float(response.headers["retry-after"])
        assert 0 < retry_after_s <= 0.5
        assert not endpoint.worker.runs_by_request
        (decline,) = endpoint.worker.declines
        assert decline.request_id == "id"
        await asyncio.sleep(retry_after_s + 0.01)
        assert (await _send(endpoint.address)).status == 200


@pytest.mark.parametrize(
    ("sent_s", "signer", "impaired_at", "is_broken"),
    [
        (DRAIN_S + 0.1, "w", None, True),
        (DRAIN_S - 0.1, "w", None, False),
        (DRAIN_S + 0.1, "other", None, False),
        (DRAIN_S + 0.1, "w", 0.5, False),
        (DRAIN_S + 0.1, "w", -0.5, True),
    ],
)
async def test_a_request_to_a_leaving_endpoint_breaks_an_invariant(
    sent_s, signer, impaired_at, is_broken
) -> None:
    """Only the instance that passed on that it leaves is bound by that."""
    passed_on_at = 1.0
    records, instance = RequestRecords(), make_instance()
    headers = {"x-cicadacourse-server-seal": f"{signer}.told"}
    told = make_attempt(instance, LOOKUP, 200, 0.9, passed_on_at, "told", headers)
    started = passed_on_at + sent_s
    late = make_attempt(instance, LOOKUP, 200, started, started + 1, "late")
    records.record([told, late])
    if impaired_at is not None:
        records.impaired_at[instance.name] = [passed_on_at + impaired_at]
    worker = Worker("w")
    worker.leaving_ids = {"told"}
    worker.arrivals = [Arrival(0.95, "told"), Arrival(started + 0.1, "late")]
    assert bool(find_sent_to_leaving(records, [worker])) == is_broken
    records.attempt_by_id["told"] = make_attempt(
        _make_other_instance(), LOOKUP, 200, 0.9, passed_on_at, "told", headers
    )
    assert not find_sent_to_leaving(records, [worker])


@pytest.mark.parametrize(
    ("count", "first_s", "impaired_at", "is_broken"),
    [
        (MAX_DECLINED + 1, DECLINE_CONTACT_S + 0.1, None, True),
        (MAX_DECLINED, DECLINE_CONTACT_S + 0.1, None, False),
        (MAX_DECLINED + 1, DECLINE_CONTACT_S - 0.2, None, False),
        (MAX_DECLINED + 1, RETRY_AFTER_S, None, False),
        (MAX_DECLINED + 1, DECLINE_CONTACT_S + 0.1, 0.3, False),
    ],
)
async def test_requests_to_an_endpoint_that_wants_none_break_an_invariant(
    count, first_s, impaired_at, is_broken
) -> None:
    declined_at = 1.0
    records, instance = RequestRecords(), make_instance()
    worker = Worker("w")
    worker.declines = [Decline(declined_at, "declined", RETRY_AFTER_S)]
    for number in range(count):
        at_s = declined_at + first_s + 0.01 * number
        worker.arrivals.append(Arrival(at_s, f"r{number}"))
    for id in ("declined", *(arrival.request_id for arrival in worker.arrivals)):
        records.record([make_attempt(instance, LOOKUP, 200, 0.0, 9.0, id)])
    if impaired_at is not None:
        records.impaired_at[instance.name] = [declined_at + impaired_at]
    assert bool(find_sent_after_declines(records, [worker])) == is_broken
    other = make_attempt(_make_other_instance(), LOOKUP, 200, 0.0, 9.0, "declined")
    records.record([other])
    assert not find_sent_after_declines(records, [worker])


def _make_other_instance():
    instance = make_instance()
    instance.name = "other"
    return instance


async def _send(address: str, headers: dict[str, str] | None = None) -> Response:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request = encode_request(
        LOOKUP.path, "id", 3000, None, "400,46", headers=headers or {}
    )
    writer.write(request)
    response = await read_response(reader)
    writer.close()
    return response
