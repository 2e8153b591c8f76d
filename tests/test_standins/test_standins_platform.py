"""Tests of the stand-ins of the platform: the store and the engine."""

from __future__ import annotations

import asyncio
import struct

import attrs
import pytest

from cicadacourse.util.clock import now
from standins._refusal import Refusal
from standins.platform import (
    PROFILE,
    Engine,
    EngineRefusal,
    StoreCore,
    StoreFaults,
)

pytestmark = pytest.mark.looptime

TOPIC = "keyed.notes"
HOST = "127.0.0.1"


def record(key: str, value: bytes) -> bytes:
    """Returns one keyed record with its length before it."""
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


async def test_a_read_waits_for_the_next_record():
    store = StoreCore()
    reading = asyncio.create_task(store.read(TOPIC, 0, wait_s=30))
    await asyncio.sleep(3)
    store.append(TOPIC, record("a", b"1"))
    body = await reading
    assert struct.unpack(">QQ", body[:16]) == (1, 0)
    assert body[16:] == record("a", b"1")
    assert now() < 4


async def test_the_newest_record_of_each_key_outlives_the_history():
    store = StoreCore()
    store.append(TOPIC, record("a", b"1") + record("b", b"2") + record("a", b"3"))
    store.append(TOPIC, record("b", b""))
    store.delete_records(TOPIC)
    with pytest.raises(Refusal) as refused:
        await store.read(TOPIC, 0, wait_s=0)
    assert refused.value.status == 410
    page = store.newest(TOPIC, after="")
    assert [(item["key"], item["offset"]) for item in page["items"]] == [("a", 2)]
    assert page["end"] == 4


async def test_an_append_for_another_end_changes_nothing():
    store = StoreCore()
    store.append(TOPIC, record("a", b"1"), expected_end=0)
    with pytest.raises(Refusal) as refused:
        store.append(TOPIC, record("a", b"2"), expected_end=0)
    assert (refused.value.status, refused.value.fields) == (412, {"end": 1})
    assert store.newest(TOPIC, after="")["end"] == 1


async def test_the_operators_topics_are_forbidden_to_the_system():
    store = StoreCore()
    with pytest.raises(Refusal) as refused:
        store.append("keyed.op", record("config", b"{}"))
    assert refused.value.status == 403
    store.append("keyed.op", record("config", b"{}"), by_system=False)


async def test_answers_of_appends_are_lost_as_often_as_the_faults_say():
    store = StoreCore()
    assert not any(store.loses_answer() for _ in range(100))
    store.faults = StoreFaults(lost_answers=1.0)
    assert all(store.loses_answer() for _ in range(100))
    store.put(TOPIC, "a", b"1")
    assert store.newest(TOPIC, after="")["end"] == 1


async def test_an_outage_takes_nothing_and_may_be_for_some_hosts_alone():
    store = StoreCore()
    store.faults = StoreFaults(down="busy", refused_hosts=frozenset({HOST}))
    with pytest.raises(Refusal) as refused:
        await store.check(HOST)
    assert refused.value.status == 503
    await store.check("127.0.0.2")


async def first_event_s(engine, prompt_tokens, output_tokens=46, helpers=()):
    """Returns when the first event of a stream came, in seconds from its start."""
    started = now()
    stream = engine.run(prompt_tokens, output_tokens, helpers)
    await anext(stream)
    await stream.aclose()
    return now() - started


async def test_a_prompt_is_read_in_the_time_of_the_model():
    took_s = await first_event_s(Engine(PROFILE), 210_000)
    read_s = PROFILE.prefill_s(210_000)
    assert read_s <= took_s <= read_s + 3 * PROFILE.pass_s(1, 210_000)


async def test_helpers_read_equal_parts():
    helpers = [(Engine(PROFILE), None) for _ in range(9)]
    took_s = await first_event_s(Engine(PROFILE), 210_000, helpers=helpers)
    part_s = PROFILE.prefill_s(210_000) / 10
    assert part_s <= took_s <= part_s + 4 * PROFILE.pass_s(1, 210_000)


async def test_what_is_read_in_a_pass_is_a_pause_of_the_streams_beside():
    engine = Engine(PROFILE)
    beside = engine.run(1000, 46 * 40)
    await anext(beside)
    before_s = engine.longest_pass_s
    await first_event_s(engine, 210_000)
    assert engine.longest_pass_s > before_s + 0.1
    await beside.aclose()


async def test_more_requests_than_slots_wait_and_an_engine_refuses_when_full():
    engine = Engine(attrs.evolve(PROFILE, slots=1))
    first = engine.run(1000, 46 * 40)
    await anext(first)
    second = asyncio.create_task(first_event_s(engine, 1000))
    await asyncio.sleep(0.2)
    assert not second.done()
    await first.aclose()
    assert await second > 0.2


async def test_a_prompt_larger_than_the_memory_is_refused():
    with pytest.raises(EngineRefusal):
        await first_event_s(Engine(PROFILE), PROFILE.kv_tokens + 1)


async def test_a_ticket_holds_memory_until_it_lapses_or_is_released():
    engine = Engine(PROFILE)
    assert engine.reserve("t", 400_000, hold_s=3.0)
    assert not engine.reserve("u", 100_000, hold_s=3.0)
    await asyncio.sleep(2)
    assert engine.reserve("t", 400_000, hold_s=3.0)
    await asyncio.sleep(2)
    assert engine.reserved_tokens == 400_000
    await asyncio.sleep(2)
    assert engine.reserved_tokens == 0
    engine.reserve("v", 100_000, hold_s=3.0)
    engine.release("v")
    assert engine.reserved_tokens == 0


async def test_a_helper_without_the_ticket_refuses_and_is_named():
    helper = Engine(PROFILE, "10.0.0.1:1")
    with pytest.raises(EngineRefusal) as refused:
        await first_event_s(Engine(PROFILE), 1000, helpers=[(helper, "unknown")])
    assert refused.value.fault_at is helper


async def test_a_dead_engine_makes_no_progress():
    engine = Engine(PROFILE)
    engine.fault = "dead"
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(60):
            await first_event_s(engine, 1000)
