"""Tries direct connections in the background while links to endpoints are lost.

It keeps one try of a lost link in progress at a time, so that a cut costs few
connections with any number of endpoints. The first one that works shows that the cut
may be over; then the others are tried soon, several at a time.
"""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable, Sequence

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.tasks import Tasks
from cicadacourse.util.logging import get_logger

logger = get_logger("reachability")

# The pause between two tries, in seconds. With the time limits of a connection, the end
# of a cut is noticed within 0.7 s.
PERIOD_S = 0.25
# Endpoints that are tried at a time once a connection was made.
BATCH = 8
# The same while nobody is known to reach any.
MAX_BATCH = 32


@attrs.frozen
class ProbeGroup:
    """Endpoints to which connections are tried.

    :param endpoints: the next ones first.
    :param batch: how many of them are tried at a time.
    """

    endpoints: Sequence[Endpoint]
    batch: int = 1

    @property
    def next(self) -> Sequence[Endpoint]:
        """The endpoints that are tried next."""
        return self.endpoints[: self.batch]


@attrs.define(eq=False)
class LinkProber:
    """The task that tries direct connections.

    :param choose: returns the groups of endpoints to try; none if no link is lost.
    :param try_connection: tries to connect, records the outcome and returns whether it
        was made.
    :param on_try: called after each try.
    :param sleep: sleeps for some seconds.
    :param tasks: runs the tries.
    """

    choose: Callable[[], Sequence[ProbeGroup]]
    try_connection: Callable[[Endpoint], Awaitable[bool]]
    on_try: Callable[[], None]
    sleep: Callable[[float], Awaitable[None]]
    tasks: Tasks
    _task: asyncio.Task[None] | None = None
    _is_running: bool = False

    def start(self) -> None:
        """Allows tries from now on."""
        self._is_running = True

    def wake(self) -> None:
        """Starts the tries if there is an endpoint to try and none are in progress."""
        if self._is_running and self._task is None and self.choose():
            self._task = self.tasks.start(self._run(), "links")
            self._task.add_done_callback(self._ended)

    async def stop(self) -> None:
        """Ends the tries for good."""
        self._is_running = False
        await self.tasks.cancel()

    async def _run(self) -> None:
        while groups := self.choose():
            if await self._try_batch([item for group in groups for item in group.next]):
                await self._try_all()
            self.on_try()
            if all(group.batch == 1 for group in groups):
                await self.sleep(PERIOD_S)

    async def _try_all(self) -> None:
        """Tries the endpoints to which no link works, until none of a batch does."""
        endpoints = [item for group in self.choose() for item in group.endpoints]
        for start in range(0, len(endpoints), BATCH):
            if not await self._try_batch(endpoints[start : start + BATCH]):
                return

    async def _try_batch(self, endpoints: Sequence[Endpoint]) -> bool:
        """Tries some endpoints at the same time; returns whether any is connected."""
        return any(await asyncio.gather(*map(self.try_connection, endpoints)))

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            asyncio.get_running_loop().call_later(PERIOD_S, self.wake)
