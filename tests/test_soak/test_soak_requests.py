"""Tests of the stand-in and the check of whole requests that crash endpoints.

If an endpoint outlived such a request, or the check passed over requests that are sent
on and on, the soak would not see that an instance loses one endpoint after the other.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from soak._callers import LOOKUP, SHORT
from soak._crash_checks import CONTACT_S, MAX_LATER_REQUESTS, SoundRequests
from soak._request_scenario import CRASHES, find_repeated_crashes, make_content
from standins.callers import encode_request, read_response
from standins.platform import Arrival, Crash, Fleet, RequestContent, Worker
from standins.ports import next_host
from tests.test_soak.histories import make_attempt, make_instance

BAD = attrs.evolve(LOOKUP, body=b"bad")
# The stand-in sees no organisation if a request reaches it directly.
CONTENT = RequestContent("POST", BAD.path, None, BAD.body)
BACK_S = 1.4
# Longer than the latest crash after the start of a request.
CRASHED_S = 0.4


@pytest.mark.parametrize("is_engine", [False, True])
async def test_an_endpoint_ends_under_the_request_and_is_back_as_a_new_process(
    is_engine,
) -> None:
    fleet = Fleet(next_host())
    async with fleet.running():
        fleet.crash_s = BACK_S
        add = fleet.add_engine if is_engine else fleet.add_plain_service
        first = add("one")
        first.worker.crashing_contents = {CONTENT}
        address = first.address
        assert await _send(address, b"sound") == 200
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await _send(address, BAD.body, is_whole=True)
        with pytest.raises(ConnectionError):
            await _send(address, b"sound")
        await asyncio.sleep(BACK_S + CRASHED_S)
        (second,) = fleet.endpoint_by_id.values()
        assert second.worker is not first.worker
        assert second.address == address
        assert second.started_ms > first.started_ms
        assert await _send(address, b"sound") == 200
        assert second.worker.crashing_contents == {CONTENT}
        assert len(fleet.crashed_at) == 1


async def test_the_sender_does_not_prevent_the_crash_by_leaving() -> None:
    fleet = Fleet(next_host())
    async with fleet.running():
        endpoint = fleet.add_plain_service("one")
        endpoint.worker.crashing_contents = {CONTENT}
        _, writer = await _connect(endpoint.address)
        writer.write(_encode(BAD.body))
        await asyncio.sleep(0.03)
        writer.close()
        await asyncio.sleep(CRASHED_S)
        assert endpoint.worker.crash


@pytest.mark.parametrize("kind", [BAD, attrs.evolve(SHORT, body=b"bad")])
@pytest.mark.parametrize(
    ("crashes", "later", "later_s", "is_broken"),
    [
        (CRASHES, MAX_LATER_REQUESTS + 1, CONTACT_S + 0.1, True),
        (CRASHES, MAX_LATER_REQUESTS, CONTACT_S + 0.1, False),
        (CRASHES, MAX_LATER_REQUESTS + 1, CONTACT_S - 0.1, False),
        (CRASHES - 1, MAX_LATER_REQUESTS + 1, CONTACT_S + 0.1, False),
    ],
)
def test_requests_that_are_sent_on_and_on_break_an_invariant(
    kind, crashes, later, later_s, is_broken
) -> None:
    content = make_content(kind)
    workers = [Worker(f"w{number}") for number in range(crashes + 1)]
    for number, worker in enumerate(workers[:-1]):
        worker.arrivals = [Arrival(number, "id", content=content)]
        worker.crash = Crash(number, content)
    at_s = crashes - 1 + later_s
    workers[-1].arrivals = [Arrival(at_s, "id", content=content)] * later
    assert bool(find_repeated_crashes(kind, workers)) == is_broken
    sound = attrs.evolve(content, body=b"sound")
    workers[-1].arrivals = [Arrival(at_s, "id", content=sound)] * later
    assert not find_repeated_crashes(kind, workers)


async def test_sound_requests_that_are_not_served_break_an_invariant() -> None:
    counts, instance = SoundRequests("sound requests"), make_instance()
    counts.record([make_attempt(instance, LOOKUP, status, 0, 1) for status in (0, 200)])
    assert not counts.find_unserved()
    counts.record([make_attempt(instance, LOOKUP, 503, 0, 1)])
    assert counts.find_unserved()


def _encode(body: bytes) -> bytes:
    return encode_request(BAD.path, "id", 3000, None, "400,46", body=body)


async def _connect(address: str):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def _send(address: str, body: bytes, is_whole: bool = False) -> int:
    """Returns the status of the response.

    :param is_whole: whether the response must be complete.
    :raises asyncio.IncompleteReadError: if it ends before its body, or early.
    """
    reader, writer = await _connect(address)
    writer.write(_encode(body))
    response = await read_response(reader)
    writer.close()
    if is_whole and not response.is_complete:
        raise asyncio.IncompleteReadError(response.body, None)
    return response.status
