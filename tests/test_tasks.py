"""Background tasks that end by themselves.

The failure: the task that follows the registry ended with an error, unnoticed.
"""

from __future__ import annotations

import ast
import asyncio
import pathlib
from typing import Awaitable, Callable

import logbook
import looptime
import pytest

import cicadacourse
from cicadacourse.logs import CALLBACK_FAILED, TASK_ENDED
from cicadacourse.metrics import Metrics
from cicadacourse.tasks import (
    CALLBACKS_FAILED,
    MAX_BACKOFF_S,
    TASKS_ENDED,
    Tasks,
    watch_event_loop,
)

PACKAGE = pathlib.Path(cicadacourse.__file__).parent
# Modules whose tasks are awaited by what starts them, or are not an instance's.
OWN_TASKS = {
    "tasks.py": "starts all others",
    "gateway/_forward.py": "a request awaits its attempts",
    "proxy/_carried.py": "an exchange turns each error into its last piece",
    "peers/_connection.py": "the task that keeps a connection awaits it",
    "peers/_memory.py": "a network for tests",
    "quarantine/_ended.py": "each caller awaits the shared task",
    "reachability/_checks.py": "each caller awaits the shared task",
}


async def _fail() -> None:
    raise OverflowError("int too large to convert to float")


async def _return() -> None:
    """Ends at once."""


async def _be_cancelled_inside() -> None:
    future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


@pytest.mark.parametrize("end", [_fail, _return, _be_cancelled_inside])
def test_a_task_that_must_not_end_is_made_again_logged_and_counted(
    end: Callable[[], Awaitable[None]],
) -> None:
    made: list[float] = []
    metrics = Metrics()

    async def make() -> None:
        made.append(asyncio.get_running_loop().time())
        await end()

    async def run() -> None:
        tasks = Tasks(metrics, "part")
        tasks.keep("work", make)
        await asyncio.sleep(30.0)
        await tasks.cancel()
        assert not len(tasks)

    with logbook.TestHandler().applicationbound() as handler:
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())
    gaps = [later - earlier for earlier, later in zip(made, made[1:])]
    assert len(made) > 5 and max(gaps) <= MAX_BACKOFF_S + 0.1
    assert metrics.value(TASKS_ENDED, task="part.work") == len(made)
    assert {item.message for item in handler.records} == {TASK_ENDED.text}


async def test_a_task_that_may_end_is_logged_and_counted_only_if_it_fails() -> None:
    metrics = Metrics()
    tasks = Tasks(metrics, "part")
    with logbook.TestHandler().applicationbound() as handler:
        tasks.start(_return(), "work")
        tasks.start(asyncio.sleep(60), "cancelled")
        tasks.start(_fail(), "work")
        await asyncio.sleep(0)
        await tasks.cancel()
    assert metrics.value(TASKS_ENDED, task="part.work") == 1
    (record,) = handler.records
    assert "OverflowError" in record.extra["reason"]
    assert "_fail" in record.extra["reason"]


async def test_a_callback_that_fails_is_logged_and_counted() -> None:
    loop = asyncio.get_running_loop()
    metrics = Metrics()
    watch_event_loop(loop, metrics)
    with logbook.TestHandler().applicationbound() as handler:
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0.01)
    loop.set_exception_handler(None)
    assert metrics.value(CALLBACKS_FAILED) == 1
    assert [item.message for item in handler.records] == [CALLBACK_FAILED.text]


def test_no_other_module_starts_tasks_of_its_own() -> None:
    """A task that is started elsewhere could end unnoticed."""
    found = {
        path.relative_to(PACKAGE).as_posix()
        for path in PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and node.attr in ("create_task", "ensure_future")
    }
    assert found == set(OWN_TASKS)
