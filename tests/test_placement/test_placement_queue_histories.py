"""Random histories of the queue: its order is total, and no request starves."""

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
    """Queues requests one after the other; some are removed at once."""
    waiters = []
    now_s = 0.0
    for interval_s, tokens, organisation, priority, leaves in arrivals:
        now_s += interval_s
        request = PlacementRequest("r", "p", priority, 3.0, WAIT_S, 2 * WAIT_S, tokens)
        request = attrs.evolve(request, organisation=organisation)
        waiter = queue.make_waiter(request, PROFILE, now_s)
        queue.add(waiter)
        if leaves:
            queue.remove(waiter)
        else:
            waiters.append(waiter)
    return waiters


@given(ARRIVALS)
def test_only_the_first_request_of_each_queue_is_next(
    arrivals: list[tuple],
) -> None:
    async def check_history() -> None:
        queue = WaitQueue()
        waiters = _fill(queue, arrivals)
        assert queue.count("p") == len(waiters)
        for is_long in (True, False):
            queued = [item for item in queue if item.is_long == is_long]
            assert [item for item in queued if queue.is_next(item)] == queued[:1]

    asyncio.run(check_history())


@given(ARRIVALS)
def test_no_request_is_overtaken_by_much_later_ones(
    arrivals: list[tuple],
) -> None:
    async def check_history() -> None:
        waiters = _fill(WaitQueue(), arrivals)
        for earlier in waiters:
            for later in waiters:
                has_same_priority = earlier.request.priority == later.request.priority
                apart_s = later.since - earlier.since
                if (
                    has_same_priority
                    and apart_s > MAX_LENGTH_DELAY_S + MAX_ORGANISATION_DELAY_S
                ):
                    assert earlier.rank < later.rank

    asyncio.run(check_history())
