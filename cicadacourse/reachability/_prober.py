"""Tries direct connections in the background while links to endpoints are lost.

It keeps one try in progress at a time, so that a cut costs few connections with any
number of endpoints. The first one that works shows that the cut may be over; then the
others are tried soon, several at a time.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Awaitable, Callable, Sequence

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.util.logging import get_logger

logger = get_logger("reachability")

# The pause between two tries, in seconds. With the time limits of a connection, the end
# of a cut is noticed within 0.7 s.
PERIOD_S = 0.25
# Endpoints that are tried at a time once a connection was made.
BATCH = 8


@attrs.define(eq=False)
class LinkProber:
    """The task that tries direct connections.

    :param choose: returns the groups of endpoints to try, which take turns, the
        next one of each first; no group if no link is lost.
    :param try_connection: tries to connect, records the outcome and returns whether it
        was made.
    :param on_try: called after each try.
    :param sleep: sleeps for some seconds.
    """

    choose: Callable[[], Sequence[Sequence[Endpoint]]]
    try_connection: Callable[[Endpoint], Awaitable[bool]]
    on_try: Callable[[], None]
    sleep: Callable[[float], Awaitable[None]]
    _task: asyncio.Task[None] | None = None
    _is_running: bool = False

    def start(self) -> None:
        """Allows tries from now on."""
        self._is_running = True

    def wake(self) -> None:
        """Starts the tries if there is an endpoint to try and none are in progress."""
        if self._is_running and self._task is None and self.choose():
            self._task = asyncio.create_task(self._run())
            self._task.add_done_callback(self._ended)

    async def stop(self) -> None:
        """Ends the tries for good."""
        self._is_running = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        for turn in itertools.count():
            groups = self.choose()
            if not groups:
                return
            endpoint = groups[turn % len(groups)][0]
            if await self.try_connection(endpoint):
                await self._try_all()
            self.on_try()
            if self.choose():
                await self.sleep(PERIOD_S)

    async def _try_all(self) -> None:
        """Tries the endpoints to which no link works, until none of a batch does."""
        endpoints = [item for group in self.choose() for item in group]
        for start in range(0, len(endpoints), BATCH):
            batch = endpoints[start : start + BATCH]
            outcomes = await asyncio.gather(*map(self.try_connection, batch))
            if not any(outcomes):
                return

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            logger.error("probes of links failed: {!r}", task.exception())
            # A link that is still lost starts them again with its next change.
