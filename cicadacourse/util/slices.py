"""Runs work that can wait in short slices, in a bounded share of the loop's time."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import weakref
from typing import AsyncIterator, Callable

from cicadacourse.util.clock import now

# The share of the event loop's time that all slices together take at most.
MAX_SHARE = 0.2


class SliceScheduler:
    """Runs slices one at a time, with pauses in which others get their turn.

    A slice does a few milliseconds of work at most; the rest waits for another one.
    """

    def __init__(self) -> None:
        # Each begins a slice, which calls :meth:`end` once it has ended.
        self._beginnings: collections.deque[Callable[[], None]] = collections.deque()
        self._is_running = False
        self._began_at = 0.0

    def add(self, begin: Callable[[], None]) -> None:
        """Begins a slice after those that were added before."""
        self._beginnings.append(begin)
        if not self._is_running:
            self._is_running = True
            asyncio.get_running_loop().call_soon(self._begin_next)

    def end(self) -> None:
        """Ends the present slice; the next one begins after a pause."""
        pause_s = (now() - self._began_at) * (1 / MAX_SHARE - 1)
        asyncio.get_running_loop().call_later(pause_s, self._begin_next)

    def _begin_next(self) -> None:
        if not self._beginnings:
            self._is_running = False
            return
        self._began_at = now()
        self._beginnings.popleft()()

    def restart_clock(self) -> None:
        """Counts the present slice from now on."""
        self._began_at = now()


class Slice:
    """The present slice of a task; ended once, by whoever is first."""

    def __init__(self, scheduler: SliceScheduler) -> None:
        self._scheduler: SliceScheduler | None = scheduler

    def end(self) -> None:
        """Ends the slice unless that was done."""
        scheduler, self._scheduler = self._scheduler, None
        if scheduler is not None:
            scheduler.end()


_scheduler_by_loop: weakref.WeakKeyDictionary[
    asyncio.AbstractEventLoop, SliceScheduler
] = weakref.WeakKeyDictionary()


def _get_scheduler() -> SliceScheduler:
    loop = asyncio.get_running_loop()
    return _scheduler_by_loop.setdefault(loop, SliceScheduler())


def schedule_slice(callback: Callable[[], None]) -> None:
    """Runs a callback soon, in the share of time that slices have."""
    scheduler = _get_scheduler()

    def run() -> None:
        try:
            callback()
        finally:
            scheduler.end()

    scheduler.add(run)


async def begin_slice() -> Slice:
    """Waits for a slice of this task, which must end it without waiting meanwhile."""
    scheduler = _get_scheduler()
    begun: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def begin() -> None:
        if begun.cancelled():
            scheduler.end()
        else:
            begun.set_result(None)

    scheduler.add(begin)
    try:
        await begun
    except asyncio.CancelledError:
        if begun.done() and not begun.cancelled():
            scheduler.end()
        raise
    scheduler.restart_clock()
    return Slice(scheduler)


@contextlib.asynccontextmanager
async def in_slice() -> AsyncIterator[None]:
    """Waits for a slice and yields in it; the block must not wait."""
    present = await begin_slice()
    try:
        yield
    finally:
        present.end()
