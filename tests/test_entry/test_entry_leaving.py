"""A planned stop cuts off no request, and is told to callers in time."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.entry import EntrySettings
from cicadacourse.errors import ErrorKind
from cicadacourse.util.clock import now
from tests.entry_instance import (
    MemorySink,
    World,
    request_body,
    running_instance,
    serve,
)


async def serve_like_a_connection(app, sink):
    """Serves as the HTTP handler does, or notes the refusal at its door."""
    entry = app.get("entry")
    error = entry.reason_to_refuse()
    if error is not None:
        await sink.refuse("", error)
        return
    entry.hold()
    try:
        await serve(app, request_body(time_limit_s=300), sink)
    finally:
        entry.let_go()


async def stop_under_load(app, drain):
    """Sends a request each half second while the instance stops.

    Returns what each caller got; callers still at work at the stop are cut off.
    """
    sinks, tasks = [], []
    stopping = asyncio.create_task(drain())
    started = now()
    while not stopping.done() and now() < started + 60:
        sink = MemorySink(take_s=0.5)
        sinks.append(sink)
        tasks.append(asyncio.create_task(serve_like_a_connection(app, sink)))
        await asyncio.wait({stopping}, timeout=0.5)
    await stopping
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return sinks


def cut_off(sinks):
    return [sink for sink in sinks if not sink.ended and sink.error is None]


@pytest.mark.looptime
async def test_a_stop_under_load_cuts_off_nothing_and_refuses_truthfully():
    world = World.make()
    async with running_instance(world) as app:
        entry = app.get("entry")
        started = now()
        sinks = await stop_under_load(app, entry.drain)
        assert cut_off(sinks) == []
        assert now() - started >= app.settings.get(EntrySettings).keep_s
        refused = [sink for sink in sinks if sink.error is not None]
        assert refused and len(refused) < len(sinks)
        for sink in refused:
            assert sink.error.kind is ErrorKind.LEAVING
            assert sink.final_error["run"] == "not_run"
        assert entry.not_ready_reason() == "leaving"
        assert app.metrics.value("requests_in_progress") == 0


@pytest.mark.looptime
async def test_a_stop_that_does_not_wait_fails_the_same_check():
    world = World.make()
    async with running_instance(world) as app:

        async def stop_at_once():
            await asyncio.sleep(5)

        assert cut_off(await stop_under_load(app, stop_at_once))
