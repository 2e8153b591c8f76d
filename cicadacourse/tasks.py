"""Background tasks: none of them ends without being logged, counted and acted on."""

from __future__ import annotations

import asyncio
from typing import Any, Callable, Coroutine

from cicadacourse.logs import CALLBACK_FAILED, TASK_ENDED, log
from cicadacourse.metrics import Metrics, declare
from cicadacourse.util.clock import now

TASKS_ENDED = declare(
    "tasks_ended_total", "Background tasks that failed or ended by themselves, by task."
)
CALLBACKS_FAILED = declare(
    "callbacks_failed_total", "Callbacks of the event loop that failed."
)

# Backoff until a task that has ended is started again; doubles with each end in
# succession.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# A task that has run for so long starts with the first backoff again.
STABLE_AFTER_S = 30.0
_MAX_REASON_LENGTH = 200


class Tasks:
    """The background tasks of one part, cancelled when it stops.

    :param metrics: counts the tasks that end by themselves.
    :param part: the part of the instance, for the log.
    """

    def __init__(self, metrics: Metrics, part: str) -> None:
        self._metrics = metrics
        self._part = part
        self._running: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._running)

    def start(
        self, coroutine: Coroutine[Any, Any, Any], name: str = "once"
    ) -> asyncio.Task[Any]:
        """Starts a task that may end; its failure is logged and counted.

        :param name: what the task does, for the log.
        """
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(lambda ended: self._ended(ended, name))
        return task

    def keep(
        self, name: str, make: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task[Any]:
        """Starts a task that must not end before it is cancelled.

        If it fails or returns all the same, that is logged and counted, and it is made
        again after a backoff: an instance that serves requests by what it knows is of
        more use than one that restarts and knows nothing.

        :param name: what the task does, for the log.
        :param make: returns the coroutine that the task runs.
        """
        return self.start(self._keep(name, make), name)

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in list(self._running):
            task.cancel()
        await self.wait()

    async def wait(self) -> None:
        """Waits until all tasks have ended."""
        await asyncio.gather(*self._running, return_exceptions=True)

    async def _keep(
        self, name: str, make: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            started = now()
            error = await self._run_once(make)
            self._record_end(name, error)
            if now() - started >= STABLE_AFTER_S:
                backoff_s = FIRST_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _run_once(
        self, make: Callable[[], Coroutine[Any, Any, Any]]
    ) -> BaseException | None:
        """Runs a coroutine to its end, and returns the error that ended it."""
        try:
            await make()
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            # Something that it awaited may have been cancelled in place of itself.
            if task is None or task.cancelling():
                raise
            return error
        except Exception as error:
            return error
        return None

    def _ended(self, task: asyncio.Task[Any], name: str) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._record_end(name, task.exception())

    def _record_end(self, name: str, error: BaseException | None) -> None:
        task = f"{self._part}.{name}"
        self._metrics.count(TASKS_ENDED, task=task)
        reason = "it returned" if error is None else describe(error)
        log(TASK_ENDED, task=task, reason=reason)


def watch_event_loop(loop: asyncio.AbstractEventLoop, metrics: Metrics) -> None:
    """Logs and counts what fails in the event loop outside of :class:`Tasks`.

    These are callbacks, and tasks whose error nothing has asked for.
    """

    def record(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        reason = "" if error is None else describe(error)
        metrics.count(CALLBACKS_FAILED)
        log(CALLBACK_FAILED, reason=reason, detail=str(context.get("message")))

    loop.set_exception_handler(record)


def describe(error: BaseException) -> str:
    """Returns an error with the place where it was raised, within a bound."""
    place = ""
    traceback = error.__traceback__
    while traceback is not None:
        code = traceback.tb_frame.f_code
        place = f" in {code.co_qualname}, line {traceback.tb_lineno}"
        traceback = traceback.tb_next
    return f"{error!r:.{_MAX_REASON_LENGTH}}{place}"
