"""Collects load reports for a short time and passes them on together."""

from __future__ import annotations

import asyncio
from typing import Callable, Sequence

from cicadacourse.load._batch import MAX_BATCH_BYTES, pack_batch

SendBatch = Callable[[bytes, Sequence[bytes]], None]


class BatchRelay:
    """The reports that wait to be passed on.

    :param batch_s: how long the first of them waits, in seconds.
    :param send: called with a packed batch and its reports.
    """

    def __init__(self, batch_s: float, send: SendBatch) -> None:
        self._batch_s = batch_s
        self._send = send
        self._reports: list[bytes] = []
        self._bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def add(self, report: bytes) -> None:
        """Adds a packed report; one that would make a batch too large ends it."""
        if self._bytes + len(report) > MAX_BATCH_BYTES:
            self.flush()
        self._reports.append(report)
        self._bytes += len(report)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._batch_s, self.flush)

    def flush(self) -> None:
        """Passes on what was collected."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        reports, self._reports, self._bytes = self._reports, [], 0
        if reports:
            self._send(pack_batch(reports), reports)
