"""Whole and own answers, in time, whatever an engine does."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.entry import _generate, _relay
from cicadacourse.errors import ErrorKind
from cicadacourse.util.clock import now
from standins.engine import expected_text
from tests.entry_instance import (
    MemorySink,
    World,
    request_body,
    running_instance,
    serve,
)

PROMPT = "a question"
WHOLE = expected_text(PROMPT, 40)


def check_whole(sink: MemorySink) -> None:
    """Checks that the caller got its own answer once, without a gap or repeat."""
    assert sink.ended, sink.final_error
    position = 0
    for line in sink.lines:
        assert line["request"] == "r1"
        if "text" in line:
            assert line["position"] == position
            position += len(line["text"]) // 4
    assert sink.text == WHOLE


def check_truthful(sink: MemorySink, started: float) -> None:
    """Checks that an answer is whole and in time, or that an error says why not."""
    assert sink.ended_at - started <= 30
    if sink.ended:
        check_whole(sink)
    else:
        assert sink.final_error["run"] in ("failed", "not_run")
        assert WHOLE.startswith(sink.text)


ENGINE_FAULTS = [
    {"silence": True},
    {"down": True},
    {"crossed": True},
    {"duplicated": True},
    {"cut_after_lines": 3},
    {"refuse": True},
    {"dribble_s": 0.4},
    {"late_s": 3.0},
]


@pytest.mark.looptime
@pytest.mark.parametrize("faults", ENGINE_FAULTS, ids=lambda item: next(iter(item)))
@pytest.mark.parametrize("seed", range(3))
async def test_one_faulty_engine_of_two_costs_no_answer(faults, seed):
    world = World.make()
    for name, value in faults.items():
        world.engines[f"e{seed % 2}"].faults.set(name, value)
    async with running_instance(world, name=f"a{seed}") as app:
        for _ in range(3):
            check_whole(await serve(app, request_body(prompt=PROMPT)))
        world.engines["e0"].faults.clear()
        world.engines["e1"].faults.clear()
        await asyncio.sleep(5)
        assert await world.kv_used() == 0


@pytest.mark.looptime
@pytest.mark.parametrize("faults", ENGINE_FAULTS, ids=lambda item: next(iter(item)))
async def test_all_engines_faulty_still_ends_in_time_and_truthfully(faults):
    world = World.make()
    for core in world.engines.values():
        for name, value in faults.items():
            core.faults.set(name, value)
    async with running_instance(world) as app:
        started = now()
        sink = await serve(app, request_body(prompt=PROMPT))
        check_truthful(sink, started)
        ran = any(core._arrivals for core in world.engines.values())
        if sink.final_error and sink.final_error["run"] == "not_run":
            assert not ran


class TrustingCheck(_relay.AnswerCheck):
    """Passes every line on, as a relay without checks would."""

    def _reason_to_drop(self, line, session, attempt):
        return ""

    def _is_whole(self, end):
        return True


@pytest.mark.looptime
@pytest.mark.parametrize("fault", ["crossed", "duplicated"])
async def test_a_relay_without_checks_fails_the_same_checks(fault, monkeypatch):
    monkeypatch.setattr(_generate, "AnswerCheck", TrustingCheck)
    world = World.make(engines=1)
    world.engines["e0"].faults.set(fault, True)
    async with running_instance(world) as app:
        sink = await serve(app, request_body(prompt=PROMPT))
        with pytest.raises(AssertionError):
            check_whole(sink)


@pytest.mark.looptime
@pytest.mark.parametrize("guarded", [True, False])
async def test_only_the_stall_guard_saves_requests_from_a_silent_engine(
    guarded, monkeypatch
):
    async def never(*args):
        await asyncio.sleep(1e6)

    if not guarded:
        monkeypatch.setattr("cicadacourse.entry._stall._watch", never)
    world = World.make(engines=2)
    world.engines["e0"].faults.set("silence", True)
    async with running_instance(world) as app:
        sinks = [await serve(app, request_body(prompt=PROMPT)) for _ in range(6)]
    kinds = [sink.final_error["kind"] for sink in sinks if not sink.ended]
    assert set(kinds) == (set() if guarded else {ErrorKind.TIMED_OUT.value})


@pytest.mark.looptime
async def test_an_engine_that_dies_in_mid_stream_is_replaced():
    world = World.make(engines=2)
    async with running_instance(world) as app:
        sink = MemorySink()
        task = asyncio.create_task(serve(app, request_body(prompt=PROMPT), sink))
        while len(sink.lines) < 4:
            await asyncio.sleep(0.01)
        (busy,) = [core for core in world.engines.values() if core._arrivals]
        busy.crash()
        await task
        check_whole(sink)
        assert {line["attempt"] for line in sink.lines} == {1, 2}


@pytest.mark.looptime
@pytest.mark.parametrize("engine_dies", [False, True])
async def test_a_stream_goes_on_through_another_instance(engine_dies):
    world = World.make(engines=2)
    async with running_instance(world, "a") as first:
        async with running_instance(world, "b") as second:
            sink = MemorySink()
            task = asyncio.create_task(serve(first, request_body(prompt=PROMPT), sink))
            while len(sink.lines) < 4:
                await asyncio.sleep(0.01)
            task.cancel()
            if engine_dies:
                for core in world.engines.values():
                    core.crash()
                    core.restart()
            resume = {
                "position": len(sink.text) // 4,
                "token": sink.lines[0]["resume"],
                "text": sink.text,
            }
            rest = await serve(second, request_body(prompt=PROMPT, resume=resume))
            assert rest.ended and sink.text + rest.text == WHOLE


@pytest.mark.looptime
async def test_a_caller_that_leaves_frees_the_engine():
    world = World.make(engines=1)
    async with running_instance(world) as app:
        sink = MemorySink()
        body = request_body(prompt=PROMPT, max_tokens=4000, time_limit_s=500)
        task = asyncio.create_task(serve(app, body, sink))
        while len(sink.lines) < 4:
            await asyncio.sleep(0.01)
        assert await world.kv_used() > 0
        task.cancel()
        await asyncio.sleep(3)
        assert await world.kv_used() == 0


@pytest.mark.looptime
async def test_a_slow_caller_is_not_taken_for_a_stuck_engine():
    world = World.make(engines=1)
    async with running_instance(world) as app:
        sink = MemorySink(take_s=7.0)
        body = request_body(prompt=PROMPT, time_limit_s=300)
        check_whole(await serve(app, body, sink))
        assert {line["attempt"] for line in sink.lines} == {1}
