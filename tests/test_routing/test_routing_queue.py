"""Tests of the order and the bounds of grants on one endpoint."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.routing import Parts, PromptClass, Work, classify
from cicadacourse.routing._ledger import key_of
from cicadacourse.routing._queue import EndpointQueue, Waiter
from cicadacourse.tables import Pool

POOL = Pool(name="p", group="g")


def make_queue(parts: Parts = Parts()) -> EndpointQueue:
    numbers = iter(range(10**6))
    return EndpointQueue(POOL, parts, lambda work: f"s{next(numbers)}", 0.0)


def make_work(name: str, organisation: str = "o", tokens: int = 2_000) -> Work:
    return Work(name, 1, organisation, "p", tokens, 100)


def join(queue: EndpointQueue, work: Work, time: float = 0.0) -> Waiter:
    waiter = Waiter(
        work=work,
        prompt_class=classify(work, POOL),
        kv_tokens=work.kv_tokens,
        deadline=time + 100.0,
        latest_start=time + 90.0,
        arrived_at=time,
        asked_at=time,
        granted=asyncio.get_running_loop().create_future(),
    )
    queue.join(waiter)
    return waiter


def run(queue: EndpointQueue, waiters: list[Waiter], until_s: float) -> list[str]:
    """Advances time; grants end after a second; returns names in granted order."""
    for step in range(int(until_s * 20)):
        time = step / 20
        queue.grant_ready(time)
        for waiter in waiters:
            waiter.asked_at = time
            if waiter.granted.done():
                granted = waiter.granted.result()
                if time - granted.granted_at >= 1.0:
                    queue.take_back(granted.session, time)
    granted = [waiter for waiter in waiters if waiter.granted.done()]
    granted.sort(key=lambda one: int(one.granted.result().session[1:]))
    return [one.work.request_id for one in granted]


async def place_of_quiet(parts: Parts) -> int:
    queue = make_queue(parts)
    waiters = [join(queue, make_work(f"flood{i}", "flooder")) for i in range(60)]
    waiters.append(join(queue, make_work("quiet", "quiet")))
    return run(queue, waiters, 20.0).index("quiet")


async def test_an_organisation_that_floods_does_not_hold_up_another():
    assert await place_of_quiet(Parts()) <= 1
    assert await place_of_quiet(Parts(fair_share=False)) == 60


async def grants_beside_long(parts: Parts) -> Counter[str]:
    queue = make_queue(parts)
    long = [join(queue, make_work(f"long{i}", tokens=150_000)) for i in range(3)]
    queue.grant_ready(0.0)
    waiters = long + [join(queue, make_work(f"short{i}")) for i in range(10)]
    return Counter(name.rstrip("0123456789") for name in run(queue, waiters, 1.0))


async def test_short_prompts_do_not_wait_behind_long_ones():
    assert (await grants_beside_long(Parts()))["short"] == 10
    everything_alike = Parts(classes=False, long_share=False)
    assert (await grants_beside_long(everything_alike))["short"] == 0


async def place_of_long(parts: Parts) -> int:
    queue = make_queue(parts)
    waiters = [join(queue, make_work(f"short{i}", tokens=7_000)) for i in range(300)]
    waiters.append(join(queue, make_work("long", tokens=200_000)))
    granted = run(queue, waiters, 2.0)
    return granted.index("long") if "long" in granted else len(waiters)


async def test_long_prompts_get_their_share_under_a_stream_of_short_ones():
    assert await place_of_long(Parts()) < 5
    assert await place_of_long(Parts(long_share=False)) == 301


async def test_asking_twice_for_one_attempt_gives_one_grant():
    queue = make_queue()
    waiter = join(queue, make_work("r"))
    queue.grant_ready(0.0)
    assert queue.ledger.find(key_of(waiter.work)) is waiter.granted.result()
    assert len(queue.ledger) == 1


async def test_a_request_that_was_withdrawn_or_forgotten_leaves_the_queue():
    queue = make_queue()
    blocker = join(queue, make_work("blocker", tokens=100_000))
    queue.grant_ready(0.0)
    withdrawn = join(queue, make_work("withdrawn", tokens=200_000))
    forgotten = join(queue, make_work("forgotten", tokens=200_000))
    queue.withdraw(key_of(withdrawn.work), 0.1)
    queue.withdraw(key_of(blocker.work), 0.1)
    queue.grant_ready(60.0)
    assert withdrawn.granted.cancelled() and forgotten.granted.cancelled()
    assert len(queue) == 0 and queue.ledger.kv_tokens == 0


async def test_an_estimate_counts_the_cached_prefix():
    queue = make_queue()
    prefix = tuple(range(16))
    first = Work("r1", 1, "o", "p", 20_000, 100, prefix)
    cold_s = queue.first_token_s(first, 0.0)
    join(queue, first)
    queue.grant_ready(0.0)
    warm_s = queue.first_token_s(Work("r2", 1, "o", "p", 20_000, 100, prefix), 60.0)
    assert warm_s < cold_s / 2


async def test_a_queue_that_waits_for_memory_is_not_looked_at_all_the_time():
    queue = make_queue()
    join(queue, make_work("holder", tokens=350_000))
    queue.grant_ready(0.0)
    join(queue, make_work("waiter", tokens=200_000), 60.0)
    queue.grant_ready(60.0)
    assert len(queue) == 1
    assert queue.ready_in_s(60.0) is None


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "return", "withdraw", "wait"]),
        st.integers(0, 30),
        st.sampled_from([1_000, 9_000, 40_000, 150_000, 400_000]),
    ),
    max_size=120,
)


@given(STEPS)
def test_grants_never_exceed_the_engine(steps):
    asyncio.run(check_bounds(steps))


async def check_bounds(steps) -> None:
    """Compares the ledger with a naive sum over what was granted and not ended."""
    queue = make_queue()
    waiters: dict[str, Waiter] = {}
    ended: set[str] = set()
    time = 0.0
    for index, (step, number, tokens) in enumerate(steps):
        time += 0.3
        name = f"r{number}"
        if step == "ask" and name not in waiters:
            waiters[name] = join(queue, make_work(name, f"o{number % 3}", tokens), time)
        elif step == "return" and name in waiters and waiters[name].granted.done():
            ended.add(name)
            queue.withdraw(f"{name}/1", time)
        elif step == "withdraw" and name in waiters:
            ended.add(name)
            queue.withdraw(f"{name}/1", time)
        queue.grant_ready(time)
        held = [
            waiter
            for name, waiter in waiters.items()
            if name not in ended
            and waiter.granted.done()
            and not waiter.granted.cancelled()
        ]
        assert queue.ledger.kv_tokens == sum(one.kv_tokens for one in held)
        assert queue.ledger.kv_tokens <= POOL.kv_capacity_tokens
        long = [one.kv_tokens for one in held if one.prompt_class.is_long]
        limit = POOL.kv_capacity_tokens * POOL.long_share
        assert len(long) <= 1 or sum(long) <= limit
        assert len(held) <= POOL.max_in_progress


@pytest.mark.parametrize(
    ("tokens", "expected"),
    [(1_000, "short"), (8_000, "medium"), (32_000, "long"), (408_000, "huge")],
)
def test_classes_by_length(tokens, expected):
    assert classify(make_work("r", tokens=tokens), POOL) is PromptClass(expected)
