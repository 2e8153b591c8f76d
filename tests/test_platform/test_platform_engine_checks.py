"""A stream whose decode engine sends data although it accepts no connections.

New connections may be refused, or not be made, while old ones live on. Two of them that
failed in a row ended all exchanges with the engine.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.platform._caller_reply import CallerReply
from standins.callers import event_ids
from standins.platform import make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

# Too many for one engine, so that others reserve KV cache.
LONG_TOKENS = "460000,4600"
EVENTS = 100
TIMEOUT_MS = 60_000
# Longer than an engine without a sign of life is waited for.
SLOW_READ_S = 3.0


async def _is_unreachable(_: object) -> bool:
    return False


async def test_a_stream_goes_on_whose_engine_accepts_no_new_connections() -> None:
    async with running_fleet(engines=8, plain_services=0) as fleet:
        configuration = make_configuration(2)
        configuration["routes"][0] |= {
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": TIMEOUT_MS // 2,
        }
        fleet.configure(configuration)
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            catalog_service = instance.app.get("catalog")
            await wait_until(lambda: catalog_service.catalog.version == 2)
            caller = Caller(instance)
            task = asyncio.create_task(
                caller.request("/ask/x", LONG_TOKENS, timeout_ms=TIMEOUT_MS)
            )
            load = instance.app.get("load").table
            await wait_until(
                lambda: any(item.is_prefilled for item in load.own_assignments())
            )
            instance.app.get("memory_client").is_reachable = _is_unreachable
            response = await task
            assert (response.status, response.is_complete) == (200, True)
            assert event_ids(response.body) == list(range(EVENTS))
            assert fleet.count_runs(caller.sent_ids[-1]) == 1


async def test_a_stream_goes_on_whose_caller_reads_slowly_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """While events wait for the caller, no sign of life of the engine is read."""
    send_events = CallerReply.send_events
    slow = asyncio.Event()

    async def send_slowly(reply: CallerReply, data: bytes) -> None:
        await send_events(reply, data)
        if not slow.is_set():
            slow.set()
            await asyncio.sleep(SLOW_READ_S)

    monkeypatch.setattr(CallerReply, "send_events", send_slowly)
    async with running_fleet(engines=8, plain_services=0) as fleet:
        configuration = make_configuration(2)
        configuration["routes"][0] |= {
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": TIMEOUT_MS // 2,
        }
        fleet.configure(configuration)
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            catalog_service = instance.app.get("catalog")
            await wait_until(lambda: catalog_service.catalog.version == 2)
            caller = Caller(instance)
            task = asyncio.create_task(
                caller.request("/ask/x", LONG_TOKENS, timeout_ms=TIMEOUT_MS)
            )
            await slow.wait()
            instance.app.get("memory_client").is_reachable = _is_unreachable
            response = await task
            assert (response.status, response.is_complete) == (200, True)
            assert event_ids(response.body) == list(range(EVENTS))
            assert fleet.count_runs(caller.sent_ids[-1]) == 1
