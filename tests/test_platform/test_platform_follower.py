"""Tests how often a topic is read, and how old the last read may become."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Sequence

import attrs
import looptime
import pytest
from returns.result import Failure, Result, Success

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.platform import StoreSettings
from cicadacourse.platform._follower import TopicFollower, TopicListener
from cicadacourse.platform._records import KeyedBatch, KeyedRecord
from cicadacourse.util.clock import now

WAIT_S = 1.5
DELAY_S = 0.8


@attrs.define
class FakeStore:
    """A store whose topic receives a record at each of the given times.

    :param times: loop times in seconds.
    :param snapshot_s: how long a read of a snapshot takes.
    :ivar read_ends: when each read ended, loop time in seconds.
    :ivar read_offsets: where each read started, None for a snapshot.
    :param read_s: how long a read takes that returns records.
    :param failing_reads: how many reads, other than of a snapshot, fail at first.
    :param max_records: the most records that a read returns.
    """

    times: Sequence[float]
    settings: StoreSettings = StoreSettings(address="127.0.0.1:1")
    read_ends: list[float] = attrs.field(factory=list)
    snapshot_s: float = 0.0
    read_offsets: list[int | None] = attrs.field(factory=list)
    read_s: float = 0.0
    failing_reads: int = 0
    max_records: int = 1000

    async def read_newest(
        self, topic: str, timeout_s: float | None = None
    ) -> Result[KeyedBatch, object]:
        """Returns a snapshot without records after ``snapshot_s``."""
        self.read_offsets.append(None)
        await asyncio.sleep(self.snapshot_s)
        return Success(KeyedBatch((), len(self._appended())))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[KeyedBatch, object]:
        """Returns the records from an offset; waits for a first one."""
        self.read_offsets.append(offset)
        if self.failing_reads:
            self.failing_reads -= 1
            await asyncio.sleep(0.5)
            return Failure(Error(ErrorKind.STORE_UNAVAILABLE, "no response"))
        deadline = now() + wait_s
        while len(self._appended()) <= offset and now() < deadline:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.read_s)
        appended = self._appended()
        self.read_ends.append(now())
        end = min(len(appended), offset + self.max_records)
        records = tuple(KeyedRecord("k", b"v") for _ in appended[offset:end])
        return Success(KeyedBatch(records, end, has_more=end < len(appended)))

    def _appended(self) -> list[float]:
        return [item for item in self.times if item <= now()]


class SnapshotCounter(TopicListener):
    """Counts the snapshots of a topic."""

    def __init__(self) -> None:
        self.snapshots = 0

    def on_snapshot(self, records: Sequence[KeyedRecord], end: int) -> None:
        """Counts the snapshot."""
        self.snapshots += 1

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Ignores them."""


def read_ends(times: Sequence[float], seconds: float) -> list[float]:
    """Follows a topic for some seconds; returns when each read ended."""
    store = FakeStore(times)
    follower = TopicFollower(
        store, "t", SnapshotCounter(), Metrics(), wait_s=WAIT_S, delay_s=DELAY_S
    )

    async def follow() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.run()

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(follow())
    return store.read_ends


def test_a_new_record_is_read_at_once_after_an_idle_time() -> None:
    assert read_ends([1.0], 1.2)[-1] < 1.05


def test_records_in_quick_succession_are_read_once_per_delay() -> None:
    ends = read_ends([item / 20 for item in range(200)], 10.0)
    assert len(ends) <= 10.0 / DELAY_S + 2


def test_a_read_ends_at_least_once_per_wait() -> None:
    """The delay counts towards the wait.

    When it was added to the wait, reads were so far apart that the neighbours took the
    instance's read for too old and read the store themselves.
    """
    ends = read_ends([0.2, 4.0], 8.0)
    gaps = [later - earlier for earlier, later in zip(ends, ends[1:])]
    assert max(gaps) <= WAIT_S + 0.05


async def _count_snapshots_if_advanced_during_the_first() -> int:
    listener = SnapshotCounter()
    store = FakeStore([], snapshot_s=0.5)
    follower = TopicFollower(store, "t", listener, Metrics(), wait_s=WAIT_S)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.2)
    follower.advance_to(7)
    await asyncio.sleep(0.5)
    task.cancel()
    return listener.snapshots


def test_a_snapshot_read_is_applied_as_one_though_another_instance_was_faster() -> None:
    """A snapshot that was applied as ordinary records would not remove missing keys."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        assert runner.run(_count_snapshots_if_advanced_during_the_first()) == 1


async def _offsets_if_advanced_during_a_read(is_newest_sufficient: bool) -> list:
    """Returns where reads start if another instance was faster during the first two.

    The first is of a snapshot, whose end is 0, the second returns two records.
    """
    store = FakeStore([1.0, 1.0], snapshot_s=0.5, read_s=0.5)
    follower = TopicFollower(
        store,
        "t",
        SnapshotCounter(),
        Metrics(),
        wait_s=WAIT_S,
        is_newest_sufficient=is_newest_sufficient,
    )
    task = asyncio.create_task(follower.run())
    for offset in (1, 7):
        await asyncio.sleep(0.2)
        follower.advance_to(offset)
        await asyncio.sleep(1.0)
    await asyncio.sleep(0.5)
    task.cancel()
    return store.read_offsets[:3]


@pytest.mark.parametrize(
    "is_newest_sufficient, offsets",
    [(True, [None, 1, 7]), (False, [None, 0, 2])],
    ids=["configuration", "registry"],
)
def test_a_read_that_ends_after_another_instance_was_faster(
    is_newest_sufficient: bool, offsets: list
) -> None:
    """The configuration is read on where the other instance has read to.

    The registry is read on after the older snapshot or records that were applied.
    """
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        read = runner.run(_offsets_if_advanced_during_a_read(is_newest_sufficient))
    assert read == offsets


async def _offsets_after_a_failure(
    is_newest_sufficient: bool, advanced_to: int | None = None
) -> list:
    """Returns where reads start if the one after the first snapshot fails.

    :param advanced_to: where another instance has read to after it.
    """
    store = FakeStore([], failing_reads=1)
    follower = TopicFollower(
        store,
        "t",
        SnapshotCounter(),
        Metrics(),
        wait_s=WAIT_S,
        is_newest_sufficient=is_newest_sufficient,
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.52)
    if advanced_to is not None:
        follower.advance_to(advanced_to)
    await asyncio.sleep(1.0)
    task.cancel()
    return store.read_offsets[:3]


@pytest.mark.parametrize(
    "is_newest_sufficient, advanced_to, offsets",
    [
        (True, None, [None, 0, None]),
        (True, 7, [None, 0, 7]),
        (False, None, [None, 0, 0]),
    ],
    ids=["configuration", "configuration fetched meanwhile", "registry"],
)
def test_what_is_read_after_a_read_that_failed(
    is_newest_sufficient: bool, advanced_to: int | None, offsets: list
) -> None:
    """The newest configuration is read instead of all versions that were missed.

    Reading each of these took longer than the time limit on a slow link, and began
    again from nothing after it. Removals from the registry need each record.
    """
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        read = runner.run(_offsets_after_a_failure(is_newest_sufficient, advanced_to))
    assert read == offsets


async def _offsets_if_few_records_fit(is_newest_sufficient: bool) -> list:
    store = FakeStore([0.5] * 5, max_records=2)
    follower = TopicFollower(
        store,
        "t",
        SnapshotCounter(),
        Metrics(),
        wait_s=WAIT_S,
        is_newest_sufficient=is_newest_sufficient,
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            await follower.run()
    return store.read_offsets[:3]


@pytest.mark.parametrize(
    "is_newest_sufficient, offsets",
    [(True, [None, 0, None]), (False, [None, 0, 2])],
    ids=["configuration", "registry"],
)
def test_what_is_read_after_a_response_that_did_not_hold_all_records(
    is_newest_sufficient: bool, offsets: list
) -> None:
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        read = runner.run(_offsets_if_few_records_fit(is_newest_sufficient))
    assert read == offsets


class EarlyStore(FakeStore):
    """A store that answers long polls without records before the wait is over."""

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[KeyedBatch, Error]:
        """Returns no records after a tenth of the wait."""
        await asyncio.sleep(wait_s / 10)
        return Success(KeyedBatch((), offset))


class ReadCollector(SnapshotCounter):
    """Collects for each read how long before its end the topic surely ended there."""

    def __init__(self) -> None:
        super().__init__()
        self.ages_s: list[float] = []

    def on_read(self, end: int, as_of: float) -> None:
        """Collects one read."""
        self.ages_s.append(now() - as_of)


def test_an_empty_long_poll_that_is_answered_early_is_evidence_of_its_start() -> None:
    """It was taken for evidence of a time that had not come yet."""
    listener = ReadCollector()
    follower = TopicFollower(
        EarlyStore([]), "t", listener, Metrics(), wait_s=WAIT_S, delay_s=DELAY_S
    )

    async def follow() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5 * WAIT_S):
                await follower.run()

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(follow())
    polls = listener.ages_s[1:]
    assert len(polls) > 3
    assert all(age_s >= WAIT_S / 10 - 1e-6 for age_s in polls)
