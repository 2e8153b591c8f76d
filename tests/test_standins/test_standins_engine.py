"""Tests of the engine in memory."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from cicadacourse.util.clock import now
from standins.engine import (
    EngineCore,
    EngineRefusal,
    EngineSettings,
    GenerateRequest,
    Import,
    MemberRef,
    Order,
    Prefill,
    Reservation,
    expected_text,
)

pytestmark = pytest.mark.looptime


def request(name="s", prompt_tokens=100, **fields):
    fields.setdefault("max_tokens", 8)
    prompt = (name + "...")[:4] * prompt_tokens
    return GenerateRequest(session=name, request=f"r-{name}", prompt=prompt, **fields)


async def collect(lines):
    return [line async for line in lines]


def text_of(lines):
    return "".join(line.text for line in lines)


async def first_token_s(engine, asked):
    started = now()
    async for _ in engine.generate(asked):
        return now() - started


async def test_an_answer_is_whole_and_ends_with_its_mark():
    asked = request()
    lines = await collect(EngineCore().generate(asked))
    assert text_of(lines) == expected_text(asked.prompt, 8)
    assert [line.position for line in lines] == [*range(8), 8]
    assert lines[-1].end


async def test_an_answer_goes_on_behind_emitted_text():
    asked = request()
    whole = expected_text(asked.prompt, 8)
    rest = attrs.evolve(asked, emitted=whole[:12])
    lines = await collect(EngineCore().generate(rest))
    assert lines[0].position == 3
    assert whole[:12] + text_of(lines) == whole


async def test_a_stream_resumes_at_a_position_until_its_grace_is_over():
    engine = EngineCore()
    asked = request()
    async for _ in engine.generate(asked):
        break
    await asyncio.sleep(5)
    lines = await collect(engine.stream("s", 2))
    assert text_of(lines) == expected_text(asked.prompt, 8)[8:]
    await asyncio.sleep(engine.settings.finished_keep_s + 1)
    with pytest.raises(EngineRefusal) as refused:
        await collect(engine.stream("s", 2))
    assert refused.value.status == 404


async def test_prefill_takes_the_time_of_its_tokens_and_cached_blocks_none():
    engine = EngineCore()
    cold = await first_token_s(engine, request("a", 40_960))
    warm = await first_token_s(
        engine, attrs.evolve(request("a", 40_960), session="b", priority=1)
    )
    assert 0.9 < cold < 1.2
    assert warm < 0.2


async def test_a_short_prompt_of_higher_priority_passes_a_long_one():
    engine = EngineCore()
    long = asyncio.create_task(first_token_s(engine, request("long", 200_000)))
    await asyncio.sleep(0.1)
    assert await first_token_s(engine, request("high", 1000, priority=1)) < 0.3
    assert await first_token_s(engine, request("low", 1000)) > 4
    await long


async def test_memory_of_abandoned_sessions_comes_back_only_by_release():
    engine = EngineCore()
    async for _ in engine.generate(request(max_tokens=100_000, time_limit_s=1)):
        break
    await asyncio.sleep(100)
    assert (await engine.sessions()).kv_used == 100_100
    await engine.release("s")
    await engine.release("s")
    assert (await engine.sessions()).kv_used == 0


async def test_a_full_engine_refuses_and_a_taken_name_conflicts():
    engine = EngineCore()
    half = Reservation(session="a", owner="o", kv_tokens=300_000, time_limit_s=9)
    await engine.reserve(half)
    with pytest.raises(EngineRefusal) as full:
        await engine.reserve(attrs.evolve(half, session="b"))
    with pytest.raises(EngineRefusal) as taken:
        await engine.reserve(half)
    assert (full.value.status, full.value.run) == (503, "not_run")
    assert taken.value.status == 409
    await asyncio.sleep(10)
    assert (await engine.sessions()).kv_used == 0


async def hold(engine, name, text):
    tokens = len(text) // 4
    await engine.reserve(
        Reservation(session=name, owner="o", kv_tokens=tokens, time_limit_s=60)
    )
    return await engine.prefill(Prefill(session=name, prompt=text))


async def test_a_prompt_larger_than_an_engine_runs_over_held_members():
    peers = {}
    settings = EngineSettings(kv_capacity=1000)
    leader, member = (
        EngineCore(name, settings, peers_by_address=peers) for name in "ab"
    )
    peers["m:1"] = member
    asked = request("big", 1500)
    with pytest.raises(EngineRefusal) as refused:
        await collect(leader.generate(asked))
    assert refused.value.status == 413
    assert (await hold(member, "slice", asked.prompt[:3600])).state == "held"
    grouped = attrs.evolve(asked, members=(MemberRef("m:1", "slice"),))
    lines = await collect(leader.generate(grouped))
    assert text_of(lines) == expected_text(asked.prompt, 8)
    assert (await member.sessions()).kv_used == 900


async def test_a_stream_breaks_without_its_mark_when_a_member_is_lost():
    peers = {}
    settings = EngineSettings(kv_capacity=1000)
    leader, member = (
        EngineCore(name, settings, peers_by_address=peers) for name in "ab"
    )
    peers["m:1"] = member
    members = (MemberRef("m:1", "slice"),)
    asked = request("big", 1500, members=members, max_tokens=300)
    await hold(member, "slice", asked.prompt[:3600])
    reading = asyncio.create_task(collect(leader.generate(asked)))
    await asyncio.sleep(1)
    await member.release("slice")
    lines = await reading
    assert lines and not lines[-1].end and len(lines) < 300
    assert (await leader.sessions()).kv_used == 900


async def test_exported_cache_is_imported_without_another_prefill():
    peers = {}
    source, target = (EngineCore(name, peers_by_address=peers) for name in "ab")
    peers["a:1"] = source
    asked = request("s", 40_000)
    await hold(source, "s", asked.prompt)
    export = await source.export("s")
    await target.import_kv(
        Import(
            session="s",
            from_address="a:1",
            handle=export.handle,
            owner="o",
            time_limit_s=60,
        )
    )
    await source.release("s")
    taken_up = attrs.evolve(asked, max_tokens=0)
    started = now()
    lines = await collect(target.generate(taken_up))
    assert lines[-1].end and now() - started < 0.1


async def test_an_old_token_is_refused_only_by_an_engine_that_checks():
    new = Order(token=5, holder="i1", model="m", model_version=2)
    old = attrs.evolve(new, token=4, model_version=1)
    engine = EngineCore()
    assert (await engine.order(new)).loading
    with pytest.raises(EngineRefusal) as refused:
        await engine.order(old)
    assert refused.value.fields == {"last_token": 5}
    engine.faults.set("ignore_fencing")
    assert (await engine.order(old)).model_version == 1


async def test_load_lags_and_cache_events_have_increasing_numbers():
    engine = EngineCore()
    await engine.reserve(
        Reservation(session="a", owner="o", kv_tokens=10, time_limit_s=60)
    )
    assert (await engine.load()).kv_used == 0
    await asyncio.sleep(1.1)
    assert (await engine.load()).kv_used == 10
    await collect(engine.generate(request("b", 10_240)))
    assert await engine.cache_events(0) == ()
    await asyncio.sleep(1.1)
    numbers = [event.sequence for event in await engine.cache_events(0)]
    assert len(numbers) > 5 and numbers == sorted(set(numbers))


async def test_faults_show_on_the_stream():
    engine = EngineCore()
    engine.faults.set("duplicated")
    assert len(await collect(engine.generate(request("a")))) == 18
    engine.faults.set("none")
    engine.faults.set("crossed")
    crossed = await collect(engine.generate(request("b")))
    assert {line.request for line in crossed} == {"r-b-crossed"}
    engine.faults.set("none")
    engine.faults.set("cut_after_lines", 3)
    with pytest.raises(ConnectionResetError):
        await collect(engine.generate(request("c")))


async def test_a_silent_engine_makes_no_progress_and_goes_on_later():
    engine = EngineCore()
    engine.faults.set("silence")
    call = asyncio.create_task(engine.sessions())
    await asyncio.sleep(50)
    assert not call.done()
    engine.faults.set("none")
    assert (await call).sessions == ()


async def test_a_crash_loses_every_session():
    engine = EngineCore()
    reading = asyncio.create_task(collect(engine.generate(request(max_tokens=500))))
    await asyncio.sleep(1)
    engine.crash()
    with pytest.raises(ConnectionError):
        await reading
    with pytest.raises(ConnectionError):
        await engine.sessions()
    engine.restart()
    assert (await engine.sessions()).sessions == ()
