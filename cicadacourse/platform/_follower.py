"""Follows one keyed topic of the store and tells what changed."""

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
from cicadacourse.util.clock import now

# How soon this instance notices that it has to read itself.
IDLE_POLL_S = 0.1
# Between tries after a failure, doubled each time.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Of the first try to read a topic whole, and how it grows with each further one.
FIRST_TIMEOUT_S = 0.4
TIMEOUT_GROWTH = 1.3


class TopicListener(abc.ABC):
    """Hears what a topic holds."""

    @abc.abstractmethod
    def on_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        """Takes the newest record of every key; other keys are no longer there."""

    @abc.abstractmethod
    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Takes records in the order in which they were appended."""

    def on_read(self, end: int) -> None:
        """Hears that the topic was read up to an offset, with or without news."""

    def on_regained(self) -> None:
        """Hears that the store answers again after a failure."""


@attrs.define
class TopicFollower:
    """Reads a topic whole, then its news by reads that the store holds.

    :param store: the client.
    :param topic: the keyed topic.
    :param listener: hears what changed.
    :param metrics: told whether the topic is followed.
    :param wait_s: the longest time from the end of a read to that of the next one.
    :param pause_s: between reads that brought news; it is part of that time.
    :param is_wanted: whether this instance is to read at all; others may do it for it.
    """

    store: Store
    topic: str
    listener: TopicListener
    metrics: Metrics
    wait_s: float
    pause_s: float = 0.0
    is_wanted: Callable[[], bool] = lambda: True
    _offset: int | None = None
    _lost_since: float | None = None
    _next_timeout_s: float = FIRST_TIMEOUT_S
    _paused_s: float = 0.0
    _reads_whole: bool = True

    async def run(self) -> None:
        """Follows the topic for ever."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not self._must_read():
                await asyncio.sleep(IDLE_POLL_S)
                continue
            match await self._step():
                case Success(KeyedBatch() as batch):
                    backoff_s = FIRST_BACKOFF_S
                    self._note_answer()
                    self._take(batch)
                    self._paused_s = self.pause_s if batch.records else 0.0
                    await asyncio.sleep(self._paused_s)
                case Failure(error):
                    self._note_failure(error.detail)
                    await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def go_on_from(self, offset: int) -> None:
        """Notes up to where another instance has read for this one."""
        self._offset = max(self._offset or 0, offset)

    def _must_read(self) -> bool:
        return self._offset is None or self._lost_since is not None or self.is_wanted()

    async def _step(self) -> Result[KeyedBatch, Error]:
        self._reads_whole = self._offset is None
        if self._offset is None:
            timeout_s = min(self.store.settings.timeout_s, self._next_timeout_s)
            self._next_timeout_s = TIMEOUT_GROWTH * timeout_s
            return await self.store.newest(self.topic, timeout_s)
        self._next_timeout_s = FIRST_TIMEOUT_S
        wait_s = max(0.0, self.wait_s - self._paused_s)
        return await self.store.read(self.topic, self._offset, wait_s)

    def _take(self, batch: KeyedBatch) -> None:
        if batch.is_trimmed:
            log(RECORDS_TRIMMED, topic=self.topic)
            self._offset = None
            return
        if self._reads_whole:
            self.listener.on_snapshot(batch.records)
        elif batch.records:
            self.listener.on_records(batch.records)
        self._offset = batch.end
        self.listener.on_read(batch.end)

    def _note_answer(self) -> None:
        self.metrics.set(STORE_REACHABLE, 1, topic=self.topic)
        if self._lost_since is None:
            return
        log(
            STORE_RECOVERED,
            topic=self.topic,
            lost_for_s=round(now() - self._lost_since, 3),
        )
        self._lost_since = None
        self.listener.on_regained()

    def _note_failure(self, detail: str) -> None:
        self.metrics.set(STORE_REACHABLE, 0, topic=self.topic)
        if self._lost_since is None:
            self._lost_since = now()
            log(STORE_LOST, topic=self.topic, reason=detail)
