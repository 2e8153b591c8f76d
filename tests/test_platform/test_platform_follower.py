"""How a topic is followed: how often it is read, and how old what is known may be."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Sequence

import attrs
import looptime
from returns.result import Result, Success

from cicadacourse.metrics import Metrics
from cicadacourse.platform import StoreSettings
from cicadacourse.platform._follower import TopicFollower, TopicListener
from cicadacourse.platform._records import KeyedBatch, KeyedRecord
from cicadacourse.util.clock import now

WAIT_S = 1.5
PAUSE_S = 0.8


@attrs.define
class NewsAt:
    """A store whose topic gets a record at each of some times."""

    times: Sequence[float]
    settings: StoreSettings = StoreSettings(address="127.0.0.1:1")
    read_ends: list[float] = attrs.field(factory=list)
    whole_s: float = 0.0

    async def read_newest(
        self, topic: str, timeout_s: float
    ) -> Result[KeyedBatch, object]:
        """Returns an empty topic, after a while."""
        await asyncio.sleep(self.whole_s)
        return Success(KeyedBatch((), 0))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[KeyedBatch, object]:
        """Returns the records since an offset, waiting for the first."""
        ends = now() + wait_s
        while len(self._until_now()) <= offset and now() < ends:
            await asyncio.sleep(0.01)
        found = self._until_now()
        self.read_ends.append(now())
        records = tuple(KeyedRecord("k", b"v") for _ in found[offset:])
        return Success(KeyedBatch(records, len(found)))

    def _until_now(self) -> list[float]:
        return [item for item in self.times if item <= now()]


class Counting(TopicListener):
    """Counts how often a topic was read whole."""

    def __init__(self) -> None:
        self.snapshots = 0

    def on_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        """Counts it."""
        self.snapshots += 1

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Ignores them."""


def read_ends(times: Sequence[float], seconds: float) -> list[float]:
    """Follows a topic for some seconds; returns when each read ended."""
    store = NewsAt(times)
    follower = TopicFollower(
        store, "t", Counting(), Metrics(), wait_s=WAIT_S, pause_s=PAUSE_S
    )

    async def follow() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.run()

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(follow())
    return store.read_ends


def test_news_is_read_at_once_after_a_quiet_time() -> None:
    assert read_ends([1.0], 1.2)[-1] < 1.05


def test_news_in_quick_succession_is_read_once_per_pause() -> None:
    ends = read_ends([item / 20 for item in range(200)], 10.0)
    assert len(ends) <= 10.0 / PAUSE_S + 2


def test_what_is_known_is_never_older_than_the_wait() -> None:
    """A pause went before a whole wait, so that neighbours read for themselves."""
    ends = read_ends([0.2, 4.0], 8.0)
    gaps = [later - earlier for earlier, later in zip(ends, ends[1:])]
    assert max(gaps) <= WAIT_S + 0.05


async def _take_another_instances_word_while_reading_whole() -> int:
    listener = Counting()
    store = NewsAt([], whole_s=0.5)
    follower = TopicFollower(store, "t", listener, Metrics(), wait_s=WAIT_S)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.2)
    follower.advance_to(7)
    await asyncio.sleep(0.5)
    task.cancel()
    return listener.snapshots


def test_a_whole_read_stays_one_though_another_instance_was_quicker() -> None:
    """Else what was dropped in between would stay for ever."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        assert runner.run(_take_another_instances_word_while_reading_whole()) == 1
