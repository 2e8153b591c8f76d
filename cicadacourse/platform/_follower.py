"""Follows one keyed topic of the store and passes changes to a listener."""

from __future__ import annotations

import abc
import asyncio
import random
from typing import Callable, Sequence

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.errors import Error
from cicadacourse.logs import RECORDS_TRIMMED, STORE_LOST, STORE_RECOVERED, log
from cicadacourse.metrics import Metrics
from cicadacourse.platform._records import KeyedBatch, KeyedRecord
from cicadacourse.platform._settings import STORE_REACHABLE
from cicadacourse.platform._store import Store
from cicadacourse.util.clock import now, time_to_tick

# Interval of the check whether this instance must read the store itself.
IDLE_POLL_INTERVAL_S = 0.125
# Backoff between reads that fail; doubles with each failure and is jittered.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Time limit of each page in the first attempt to read a snapshot, and the factor by
# which it grows with each further attempt, up to the setting ``timeout_s``.
FIRST_SNAPSHOT_TIMEOUT_S = 0.4
SNAPSHOT_TIMEOUT_GROWTH = 1.3


class TopicListener(abc.ABC):
    """Receives the records of a topic."""

    @abc.abstractmethod
    def on_snapshot(self, records: Sequence[KeyedRecord], end: int) -> None:
        """Receives the newest record of every key; other keys no longer exist.

        :param end: the position up to which that is so. Records that were appended
            while the snapshot was read may be among the others, and are read again.
        """

    @abc.abstractmethod
    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Receives records in the order in which they were appended."""

    def on_read(self, end: int, as_of: float) -> None:
        """Called when the topic was read to its end, also without new records.

        :param end: the offset reached.
        :param as_of: the time at which the topic surely ended there, loop time in
            seconds. The response may have been in transit since.
        """

    def on_lost(self) -> None:
        """Called when a read fails after one that succeeded."""

    def on_recovered(self) -> None:
        """Called when a read succeeds again after a failure."""


@attrs.define
class TopicFollower:
    """Reads a snapshot of a topic, then new records by long polls.

    :param store: the client.
    :param topic: the keyed topic.
    :param listener: receives the records.
    :param metrics: shows whether the topic is followed.
    :param wait_s: the longest time from the end of a read to the end of the next one.
    :param delay_s: delay after a read that returned records; part of ``wait_s``.
    :param is_newest_sufficient: whether the newest record makes all earlier ones
        superfluous. After a read that failed, only the newest ones are then read, and
        records that another instance has read are never applied again. Otherwise the
        listener needs consecutive records: after an older snapshot all that follow it.
    :param is_store_reader: returns whether this instance reads the topic now; other
        instances may read it instead.
    """

    store: Store
    topic: str
    listener: TopicListener
    metrics: Metrics
    wait_s: float
    delay_s: float = 0.0
    is_newest_sufficient: bool = False
    is_store_reader: Callable[[], bool] = lambda: True
    _offset: int | None = None
    _read_from: int | None = None
    _lost_since: float | None = None
    _snapshot_timeout_s: float = FIRST_SNAPSHOT_TIMEOUT_S
    _last_delay_s: float = 0.0
    _is_snapshot_read: bool = True
    _read_started_at: float = 0.0
    _has_more: bool = False
    _is_refresh_due: bool = False

    async def run(self) -> None:
        """Follows the topic until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not self._must_read():
                await asyncio.sleep(time_to_tick(IDLE_POLL_INTERVAL_S))
                continue
            match await self._read_next():
                case Success(KeyedBatch() as batch):
                    backoff_s = FIRST_BACKOFF_S
                    self._record_success()
                    self._apply(batch)
                    is_paced = batch.records and not batch.has_more
                    self._last_delay_s = self.delay_s if is_paced else 0.0
                    await asyncio.sleep(self._last_delay_s)
                case Failure(error):
                    self._record_failure(error.detail)
                    await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    @property
    def offset(self) -> int | None:
        """The offset of the next read, None if that is of a snapshot."""
        return self._offset

    @property
    def is_lost(self) -> bool:
        """Whether the last read has failed."""
        return self._lost_since is not None

    def advance_to(self, offset: int) -> None:
        """Skips the records before an offset, as another instance has read them."""
        self._offset = max(self._offset or 0, offset)

    def refresh(self) -> None:
        """Has the newest records read here soon, whoever else reads the topic.

        After a pause, this instance may have missed what others have told.
        """
        self._is_refresh_due = True

    def _must_read(self) -> bool:
        return (
            self._offset is None
            or self._is_refresh_due
            or self._lost_since is not None
            or self.is_store_reader()
        )

    async def _read_next(self) -> Result[KeyedBatch, Error]:
        self._read_started_at = now()
        # Decided before the read, as ``advance_to`` may set the offset during it.
        self._is_snapshot_read = (
            self._offset is None or self._is_refresh_due or self._may_have_missed_many()
        )
        self._read_from = self._offset
        if self._offset is None:
            timeout_s = min(self.store.settings.timeout_s, self._snapshot_timeout_s)
            self._snapshot_timeout_s = SNAPSHOT_TIMEOUT_GROWTH * timeout_s
            return await self.store.read_newest(self.topic, timeout_s)
        self._snapshot_timeout_s = FIRST_SNAPSHOT_TIMEOUT_S
        if self._is_snapshot_read:
            return await self.store.read_newest(self.topic)
        return await self.store.read(self.topic, self._offset, self._poll_wait_s())

    def _may_have_missed_many(self) -> bool:
        """Returns whether to read the newest record instead of all that were missed.

        After a failure there may be many, unless another instance has read further
        since. There are also many if they did not fit in one response.
        """
        has_failed = self._lost_since is not None and self._offset == self._read_from
        return self.is_newest_sufficient and (has_failed or self._has_more)

    def _apply(self, batch: KeyedBatch) -> None:
        self._has_more = batch.has_more
        if batch.is_trimmed:
            log(RECORDS_TRIMMED, topic=self.topic)
            self._offset = self._next_offset(None)
            return
        if self._is_snapshot_read:
            self._is_refresh_due = False
            self.listener.on_snapshot(batch.records, batch.end)
        elif batch.records:
            self.listener.on_records(batch.records)
        self._offset = self._next_offset(batch.end)
        if not batch.has_more:
            self.listener.on_read(batch.end, self._as_of(batch))

    def _next_offset(self, end: int | None) -> int | None:
        """Returns where to read on after a read that ended at an offset.

        :param end: None if a snapshot must be read.
        """
        is_advanced = self._offset is not None and self._offset != self._read_from
        if not (self.is_newest_sufficient and is_advanced):
            return end
        return max(self._offset or 0, end or 0)

    def _as_of(self, batch: KeyedBatch) -> float:
        """Returns a time at which the topic surely ended where the batch does.

        The store holds a long poll without records for the whole wait.
        """
        waited_until = self._read_started_at + self._poll_wait_s()
        if self._is_snapshot_read or batch.records or now() < waited_until:
            return self._read_started_at
        return waited_until

    def _poll_wait_s(self) -> float:
        return max(0.0, self.wait_s - self._last_delay_s)

    def _record_success(self) -> None:
        self.metrics.set(STORE_REACHABLE, 1, topic=self.topic)
        if self._lost_since is None:
            return
        log(
            STORE_RECOVERED,
            topic=self.topic,
            lost_for_s=round(now() - self._lost_since, 3),
        )
        self._lost_since = None
        self.listener.on_recovered()

    def _record_failure(self, detail: str) -> None:
        self.metrics.set(STORE_REACHABLE, 0, topic=self.topic)
        if self._lost_since is None:
            self._lost_since = now()
            log(STORE_LOST, topic=self.topic, reason=detail)
            self.listener.on_lost()
