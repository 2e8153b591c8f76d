"""An instance without links to endpoints serves through another, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

import pytest

from cicadacourse.exchange import SendFailure
from cicadacourse.util.connection import HttpConnection
from standins.platform import Fleet
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

STREAM_TOKENS = "5000,92"
LONG_STREAM_TOKENS = "5000,900"


async def _refuse(*_: object) -> HttpConnection:
    """Makes no connection, as over a link that is cut."""
    await asyncio.sleep(0.02)
    raise SendFailure("the link is cut", False, "unreachable")


@contextlib.asynccontextmanager
async def _cut_off_instance() -> AsyncIterator[tuple[Fleet, Instance, Instance]]:
    """Runs an instance that is cut off from all endpoints, and another one."""
    async with running_fleet() as fleet:
        first = make_instance(fleet, "one", next_host())
        seeds = (f"{first.host}:{first.caller_port}",)
        second = make_instance(fleet, "two", next_host(), seeds=seeds)
        async with running_instance(first), running_instance(second):
            for instance in (first, second):
                membership = instance.app.get("membership")
                await wait_until(lambda: len(membership.members()) == 2)
            first.app.get("endpoint_connector")._open = _refuse
            yield fleet, first, second


@pytest.mark.parametrize("path", ["/ask/x", "/look/x", "/book/x"])
async def test_responses_through_a_peer_are_those_of_the_endpoint(path: str) -> None:
    async with _cut_off_instance() as (fleet, first, second):
        tokens = STREAM_TOKENS if path == "/ask/x" else None
        body = bytes(range(256)) * 400
        direct = await Caller(second).request(path, tokens, body=body)
        caller = Caller(first)
        for _ in range(4):
            proxied = await caller.request(path, tokens, body=body)
            assert proxied.status == direct.status == 200
            assert proxied.is_complete
            assert len(proxied.body) == len(direct.body)
            assert set(proxied.headers) == set(direct.headers)
            assert fleet.count_runs(caller.sent_ids[-1]) == 1
        carried = second.app.metrics.value(
            "proxied_exchanges_carried_total", outcome="complete"
        )
        assert carried == 4


async def test_a_leaving_peer_finishes_the_exchanges_that_it_carries() -> None:
    async with _cut_off_instance() as (fleet, first, second):
        caller = Caller(first)
        stream = asyncio.create_task(caller.request("/ask/x", LONG_STREAM_TOKENS))
        await wait_until(lambda: second.app.get("proxy").in_progress)
        await second.app.get("ingress").leave()
        assert not second.app.get("proxy").in_progress
        response = await stream
        assert (response.status, response.is_complete) == (200, True)
        assert fleet.count_runs(caller.sent_ids[-1]) == 1


async def test_an_endpoint_stops_work_once_a_caller_leaves_that_has_a_peer() -> None:
    async with _cut_off_instance() as (fleet, first, second):
        _, writer = await Caller(first).open("/ask/x", LONG_STREAM_TOKENS)
        await wait_until(lambda: second.app.get("proxy").in_progress)
        writer.close()
        await wait_until(lambda: not second.app.get("proxy").in_progress)
