"""The account of what is held for callers: who waits, who is shed, who goes first.

The load is a burst of bodies of the largest size, callers that stop before their end,
and small requests beside them.
"""

from __future__ import annotations

import asyncio
import time

import hypothesis.strategies as st
import pytest
from hypothesis import given

from cicadacourse.metrics import Metrics
from cicadacourse.resources import (
    SHED,
    SMALL_BYTES,
    HeldKind,
    Holding,
    MemoryAccount,
    NoRoom,
)
from cicadacourse.util.clock import now

MB = 1_000_000
LIMIT = 100 * MB
# The lane of large bodies, in bodies of this size.
BODY, BODIES = 10 * MB, 3


def _make_account() -> MemoryAccount:
    return MemoryAccount(LIMIT, Metrics())


async def _hold(account: MemoryAccount, size: int) -> Holding:
    holding = account.open(HeldKind.BODY)
    await holding.reserve(size, 1.0)
    return holding


@pytest.mark.looptime
async def test_large_bodies_wait_in_turn_and_are_refused_in_time() -> None:
    account = _make_account()
    first, *_ = [await _hold(account, BODY) for _ in range(BODIES)]
    with pytest.raises(NoRoom):
        await account.open(HeldKind.BODY).reserve(BODY, 0.01)
    waiting = [asyncio.create_task(_hold(account, BODY)) for _ in range(2)]
    await asyncio.sleep(0)
    assert account.waiting == 2
    first.close()
    await asyncio.sleep(0.01)
    assert [item.done() for item in waiting] == [True, False]
    waiting[1].cancel()
    await asyncio.gather(waiting[1], return_exceptions=True)
    assert not account.waiting


@pytest.mark.parametrize(
    ("kind", "size"),
    [
        (HeldKind.BODY, SMALL_BYTES),
        (HeldKind.ANSWER, SMALL_BYTES),
        (HeldKind.ANSWER, BODY),
        (HeldKind.COPY, BODY),
        (HeldKind.HEAD, BODY),
    ],
)
async def test_no_other_load_waits_for_large_bodies(kind: HeldKind, size: int) -> None:
    """Unread answers filled the account, and no small body was read any more."""
    account = _make_account()
    for _ in range(BODIES):
        await _hold(account, BODY)
    waiting = asyncio.create_task(_hold(account, BODY))
    await asyncio.sleep(0)
    await account.open(kind).reserve(size, 0.0)
    waiting.cancel()


async def test_a_single_body_is_served_whatever_its_size() -> None:
    await _hold(_make_account(), 2 * LIMIT)


async def test_a_body_that_grows_leaves_the_lane_of_small_ones() -> None:
    account = _make_account()
    holding = await _hold(account, SMALL_BYTES)
    small_lane = holding.lane
    await holding.reserve(BODY, 0.0)
    assert small_lane is not None
    assert (small_lane.held, account.held) == (0, BODY)
    holding.close()
    assert account.held == 0


class _Caller:
    """A caller whose body is held, and that may be shed."""

    def __init__(self, account: MemoryAccount, size: int) -> None:
        self.is_shed = False
        self.holding = account.open(HeldKind.BODY, self._shed)
        self.holding.resize(size)
        self.holding.wait_for_caller()

    def _shed(self) -> None:
        self.is_shed = True
        self.holding.close()


@pytest.mark.looptime
async def test_callers_without_progress_are_shed_for_those_who_wait() -> None:
    """The largest first; not those that move, and none while there is room."""
    account = _make_account()
    shedding = asyncio.create_task(account.shed_periodically())
    moving, smaller, larger = (
        _Caller(account, size) for size in (BODY, BODY, BODY + MB)
    )

    async def move() -> None:
        while True:
            await asyncio.sleep(0.5)
            moving.holding.record_moved(SMALL_BYTES)

    mover = asyncio.create_task(move())
    await asyncio.sleep(5.0)
    assert not larger.is_shed
    await _hold(account, BODY)
    assert (moving.is_shed, smaller.is_shed, larger.is_shed) == (False, False, True)
    assert account._metrics.value(SHED, kind="body") == 1
    mover.cancel()
    shedding.cancel()


async def test_nobody_is_shed_for_a_pause_of_this_process() -> None:
    """After a pause all seem to have made no progress."""
    account = _make_account()
    shedding = asyncio.create_task(account.shed_periodically())
    caller = _Caller(account, 3 * BODY)
    await asyncio.sleep(0.5)
    waiting = asyncio.create_task(_hold(account, BODY))
    # The loop's time goes on by a blocking call as by a pause.
    time.sleep(2.0)
    await asyncio.sleep(0.4)
    assert not caller.is_shed
    waiting.cancel()
    shedding.cancel()


sizes = st.integers(0, 40 * MB)


@given(st.lists(st.tuples(st.sampled_from(list(HeldKind)), sizes, sizes), max_size=20))
def test_what_is_held_is_the_sum_of_all_holdings(
    changes: list[tuple[HeldKind, int, int]],
) -> None:
    account = _make_account()
    holdings = []
    for kind, first, second in changes:
        holding = account.open(kind)
        holding.resize(first)
        holding.resize(second)
        holdings.append(holding)
    assert account.held == sum(second for _, _, second in changes)
    assert sum(lane.held for lane in account._lanes.all) == account.held
    for holding in holdings:
        holding.close()
    assert account.held == 0
    assert not any(account.held_by_kind().values())


@pytest.mark.looptime
async def test_a_body_that_grows_by_little_makes_no_progress() -> None:
    """Bodies in chunks of one byte seemed to move, and kept all connections."""
    account = _make_account()
    caller = _Caller(account, 1)
    for size in range(2, 40):
        await asyncio.sleep(0.05)
        caller.holding.record_moved(1)
        await caller.holding.reserve(size, 1.0)
    assert caller.holding.is_stalled(now())


@pytest.mark.looptime
async def test_a_wait_for_room_is_not_the_callers() -> None:
    account = _make_account()
    others = [await _hold(account, BODY) for _ in range(BODIES)]
    caller = _Caller(account, 1)
    waiting = asyncio.create_task(caller.holding.reserve(BODY, 5.0))
    await asyncio.sleep(3.0)
    assert not caller.holding.is_stalled(now())
    others[0].close()
    await waiting
    assert not caller.holding.is_stalled(now())
    await asyncio.sleep(1.1)
    assert caller.holding.is_stalled(now())
