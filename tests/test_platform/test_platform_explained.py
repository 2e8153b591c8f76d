"""Tests that the logs of an instance explain each failed request.

While endpoints fail and the store is down, ``explain`` must find a cause for each
request that did not get a whole response.
"""

from __future__ import annotations

import asyncio
import json

from cicadacourse.cmd import explain
from cicadacourse.platform import _names as names
from cicadacourse.util.logging import JsonHandler
from standins.platform import StoreFaults, WorkerFaults
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    make_instance,
    running_fleet,
    running_instance,
)

OK = 200


class LineRecorder:
    """Records log lines in place of a writer."""

    def __init__(self) -> None:
        self.dropped_count = 0
        self.texts: list[str] = []

    def put(self, data: bytes) -> None:
        """Records whole lines."""
        self.texts += data.decode().splitlines()


async def test_explain_finds_a_cause_for_each_failed_request() -> None:
    lines = LineRecorder()
    handler = JsonHandler(lines, "INFO", instance="one")
    with handler.applicationbound():
        async with running_fleet(engines=2) as fleet:
            instance = make_instance(fleet, "one", next_host())
            async with running_instance(instance):
                caller = Caller(instance)
                for number, endpoint in enumerate(fleet.endpoint_by_id.values()):
                    faults = WorkerFaults(error_rate=0.5, reset_rate=0.3, cut_rate=0.7)
                    endpoint.worker.faults = faults
                    endpoint.worker.random.seed(number)
                fleet.store.faults = StoreFaults(outage="busy")
                paths = [("/book/x", None), ("/look/x", None), ("/ask/x", "5000,460")]
                responses = await asyncio.gather(
                    *(caller.request(*paths[number % 3]) for number in range(30)),
                    caller.request("/ask/x", "990000,92", timeout_ms=600),
                    caller.request("/book/x", key="wrong"),
                )
    handler.flush()
    assert all(json.loads(text)["event"] for text in lines.texts)
    parsed = explain.parse_lines(lines.texts)
    failed = [
        response.headers[names.HEADER_REQUEST_ID.lower()]
        for response in responses
        if response.status != OK or not response.is_complete
    ]
    assert len(failed) > 5
    for request in failed:
        cause = explain.find_cause(request, parsed)
        assert not cause.startswith("no end was logged"), request
        assert "failed" in cause or "answered" in cause or "cut" in cause, cause


async def test_the_cause_of_a_timeout_names_the_endpoint_that_did_not_respond() -> None:
    lines = LineRecorder()
    handler = JsonHandler(lines, "INFO", instance="one")
    with handler.applicationbound():
        async with running_fleet(engines=0, plain_services=1) as fleet:
            instance = make_instance(fleet, "one", next_host())
            async with running_instance(instance):
                fleet.endpoint_by_id["plain-0"].worker.faults.is_unresponsive = True
                caller = Caller(instance)
                response = await caller.request("/book/x", timeout_ms=300)
    handler.flush()
    assert response.status == 504
    cause = explain.find_cause(caller.sent_ids[0], explain.parse_lines(lines.texts))
    assert "plain-0 had been sent it" in cause
