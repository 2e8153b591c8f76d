"""Notices an endpoint that makes no progress."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator, Awaitable, Callable

from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.util.clock import now

STALLED = "stalled"


class Progress:
    """When a stream last went on, and whether its reader holds it up.

    :ivar last: when it went on, on the loop's clock.
    :ivar reader_waits: whether the caller, not the endpoint, is waited for.
    """

    def __init__(self) -> None:
        self.last = now()
        self.reader_waits = False

    def note(self) -> None:
        """Notes that the stream went on."""
        self.last = now()


@contextlib.asynccontextmanager
async def stall_guard(
    progress: Progress,
    check_s: float,
    limit_s: float,
    is_alive: Callable[[], Awaitable[bool]],
) -> AsyncIterator[None]:
    """Ends its body when the endpoint is stuck.

    After ``check_s`` of silence the endpoint is asked whether it is alive; after
    ``limit_s`` it is taken for stuck in any case.

    :raises CicadacourseError: with ``ENDPOINT_FAILED``, reason ``stalled``.
    """
    try:
        async with asyncio.timeout(None) as scope:
            watch = _watch(progress, check_s, limit_s, is_alive, scope)
            task = asyncio.create_task(watch)
            try:
                yield
            finally:
                task.cancel()
    except TimeoutError as error:
        if not scope.expired():
            raise
        detail = "the endpoint makes no progress"
        raise CicadacourseError(
            Error(ErrorKind.ENDPOINT_FAILED, detail, STALLED)
        ) from error


async def _watch(
    progress: Progress,
    check_s: float,
    limit_s: float,
    is_alive: Callable[[], Awaitable[bool]],
    scope: asyncio.Timeout,
) -> None:
    checked_at = progress.last
    while True:
        await asyncio.sleep(max(max(progress.last, checked_at) + check_s - now(), 0.01))
        if progress.reader_waits:
            await asyncio.sleep(check_s)
            continue
        silence_s = now() - progress.last
        if silence_s < check_s or now() - checked_at < check_s:
            continue
        if silence_s >= limit_s or not await is_alive():
            scope.reschedule(now())
            return
        checked_at = now()
