"""Tasks that end with the service that started them."""

from __future__ import annotations

import asyncio
from typing import Any, Coroutine

from cicadacourse.util.logging import get_logger


class Tasks:
    """Tasks that are cancelled when the service ends.

    :param part: the part of the instance whose log names failed tasks.
    """

    def __init__(self, part: str) -> None:
        self._logger = get_logger(part)
        self._running: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._running)

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task; the log names the exception if it fails."""
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._ended)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error("task failed: {!r}", task.exception())
