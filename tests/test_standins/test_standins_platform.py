"""Tests of the stand-ins for the platform: the store and the engine.

A stand-in that is faster or more lenient than the platform would hide faults of the
program from all the tests that use it.
"""

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
    """Returns one keyed record with its length prefix."""
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


async def test_a_read_waits_for_the_next_record():
    store = StoreCore()
    read = asyncio.create_task(store.read(TOPIC, 0, wait_s=30))
    await asyncio.sleep(3)
    store.append(TOPIC, record("a", b"1"))
    body = await read
    assert struct.unpack(">QQ", body[:16]) == (1, 0)
    assert body[16:] == record("a", b"1")
    assert now() < 4


async def test_the_newest_record_of_each_key_outlives_the_deletion_of_records():
    store = StoreCore()
    store.append(TOPIC, record("a", b"1") + record("b", b"2") + record("a", b"3"))
    store.append(TOPIC, record("b", b""))
    store.delete_records(TOPIC)
    with pytest.raises(Refusal) as refused:
        await store.read(TOPIC, 0, wait_s=0)
    assert refused.value.status == 410
    page = store.read_newest(TOPIC, after="")
    assert [(item["key"], item["offset"]) for item in page["items"]] == [("a", 2)]
    assert page["end"] == 4


async def test_an_append_with_another_expected_end_changes_nothing():
    store = StoreCore()
    store.append(TOPIC, record("a", b"1"), expected_end=0)
    with pytest.raises(Refusal) as refused:
        store.append(TOPIC, record("a", b"2"), expected_end=0)
    assert (refused.value.status, refused.value.fields) == (412, {"end": 1})
    assert store.read_newest(TOPIC, after="")["end"] == 1


async def test_the_system_may_not_append_to_the_operators_topics():
    store = StoreCore()
    with pytest.raises(Refusal) as refused:
        store.append("keyed.op", record("config", b"{}"))
    assert refused.value.status == 403
    store.append("keyed.op", record("config", b"{}"), by_system=False)


async def test_responses_to_appends_are_lost_with_the_given_probability():
    store = StoreCore()
    assert not any(store.should_lose_response() for _ in range(100))
    store.faults = StoreFaults(lost_response_rate=1.0)
    assert all(store.should_lose_response() for _ in range(100))
    store.put(TOPIC, "a", b"1")
    assert store.read_newest(TOPIC, after="")["end"] == 1


async def test_an_outage_may_affect_only_the_calls_of_some_hosts():
    store = StoreCore()
    store.faults = StoreFaults(outage="busy", affected_hosts=frozenset({HOST}))
    with pytest.raises(Refusal) as refused:
        await store.apply_faults(HOST)
    assert refused.value.status == 503
    await store.apply_faults("127.0.0.2")


async def first_event_s(engine, prompt_tokens, output_tokens=46, helpers=()):
    """Returns the time to the first event of a stream, in seconds."""
    started = now()
    stream = engine.run(prompt_tokens, output_tokens, helpers)
    await anext(stream)
    await stream.aclose()
    return now() - started


async def test_prefill_takes_the_time_of_the_profile():
    took_s = await first_event_s(Engine(PROFILE), 210_000)
    prefill_s = PROFILE.prefill_s(210_000)
    assert prefill_s <= took_s <= prefill_s + 3 * PROFILE.pass_s(1, 210_000)


async def test_helpers_prefill_equal_parts():
    helpers = [(Engine(PROFILE), None) for _ in range(9)]
    took_s = await first_event_s(Engine(PROFILE), 210_000, helpers=helpers)
    part_s = PROFILE.prefill_s(210_000) / 10
    assert part_s <= took_s <= part_s + 4 * PROFILE.pass_s(1, 210_000)


async def test_prefill_in_a_pass_delays_the_decoding_streams():
    engine = Engine(PROFILE)
    decoding = engine.run(1000, 46 * 40)
    await anext(decoding)
    before_s = engine.longest_pass_s
    await first_event_s(engine, 210_000)
    assert engine.longest_pass_s > before_s + 0.1
    await decoding.aclose()


async def test_a_request_waits_until_a_slot_is_free():
    engine = Engine(attrs.evolve(PROFILE, slots=1))
    first = engine.run(1000, 46 * 40)
    await anext(first)
    second = asyncio.create_task(first_event_s(engine, 1000))
    await asyncio.sleep(0.2)
    assert not second.done()
    await first.aclose()
    assert await second > 0.2


async def test_a_prompt_larger_than_the_kv_cache_is_refused():
    with pytest.raises(EngineRefusal):
        await first_event_s(Engine(PROFILE), PROFILE.kv_tokens + 1)


async def test_a_reservation_holds_kv_cache_until_it_expires_or_is_released():
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


async def test_a_refusal_names_the_helper_that_lacks_the_reservation():
    helper = Engine(PROFILE, "10.0.0.1:1")
    with pytest.raises(EngineRefusal) as refused:
        await first_event_s(Engine(PROFILE), 1000, helpers=[(helper, "unknown")])
    assert refused.value.faulty_engine is helper


async def test_a_dead_engine_makes_no_progress():
    engine = Engine(PROFILE)
    engine.fault = "dead"
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(60):
            await first_event_s(engine, 1000)
