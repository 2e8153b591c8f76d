"""Random histories of the queue: its order is total, and nobody starves."""

from __future__ import annotations

import asyncio

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.placement import PlacementRequest, WaitQueue
from cicadacourse.placement._queue import (
    MAX_LENGTH_DELAY_S,
    MAX_ORGANISATION_DELAY_S,
    Waiter,
)
from standins.platform import PROFILE

WAIT_S = 6.0
ARRIVALS = st.lists(
    st.tuples(
        st.floats(0.0, 2.0),
        st.integers(1, 1_000_000),
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 2),
        st.booleans(),
    ),
    max_size=40,
)


def _fill(queue: WaitQueue, arrivals: list[tuple]) -> list[Waiter]:
    """Lets requests come one after the other; some leave at once."""
    waiters = []
    at = 0.0
    for pause_s, tokens, organisation, priority, leaves in arrivals:
        at += pause_s
        need = PlacementRequest("r", "p", priority, 3.0, WAIT_S, 2 * WAIT_S, tokens)
        need = attrs.evolve(need, organisation=organisation)
        waiter = queue.make_waiter(need, PROFILE, at)
        queue.add(waiter)
        if leaves:
            queue.remove(waiter)
        else:
            waiters.append(waiter)
    return waiters


@given(ARRIVALS)
def test_one_request_of_each_line_is_next_and_it_is_the_first(
    arrivals: list[tuple],
) -> None:
    async def play() -> None:
        queue = WaitQueue()
        waiters = _fill(queue, arrivals)
        assert queue.count("p") == len(waiters)
        for is_long in (True, False):
            line = [item for item in queue if item.is_long == is_long]
            assert [item for item in line if queue.is_next(item)] == line[:1]

    asyncio.run(play())


@given(ARRIVALS)
def test_nobody_is_overtaken_by_those_that_come_much_later(
    arrivals: list[tuple],
) -> None:
    async def play() -> None:
        waiters = _fill(WaitQueue(), arrivals)
        for earlier in waiters:
            for later in waiters:
                is_peer = earlier.request.priority == later.request.priority
                apart_s = later.since - earlier.since
                if is_peer and apart_s > MAX_LENGTH_DELAY_S + MAX_ORGANISATION_DELAY_S:
                    assert earlier.rank < later.rank

    asyncio.run(play())
