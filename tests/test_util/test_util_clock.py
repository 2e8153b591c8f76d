"""Tests that periodic tasks wake the process together.

Tasks with timers of their own woke it some forty times a second at rest.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.util.clock import now, time_to_tick

pytestmark = pytest.mark.looptime


async def test_tasks_with_one_period_wake_at_the_same_times() -> None:
    woken: list[list[float]] = [[], [], []]

    async def tick(times: list[float], period_s: float) -> None:
        while True:
            await asyncio.sleep(time_to_tick(period_s))
            times.append(round(now(), 3))

    tasks = []
    for times, period_s in zip(woken, (0.25, 0.25, 0.125)):
        tasks.append(asyncio.create_task(tick(times, period_s)))
        await asyncio.sleep(0.07)
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    assert woken[0][1:] == woken[1][1:] or woken[0] == woken[1]
    assert set(woken[0]) <= set(woken[2]) | {0.25}
    gaps = [b - a for a, b in zip(woken[0], woken[0][1:])]
    assert all(gap == pytest.approx(0.25, abs=0.002) for gap in gaps)
